/**
 * Sends probes and matches acknowledgements to them. In each period the next
 * host of a randomly ordered round is probed. When it does not answer in time,
 * other hosts are asked to probe it indirectly. Single probes check hosts that
 * are suspect or unreachable.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Member, Seed } from "./types.ts";

/** Dependencies of the prober that the membership protocol provides. */
export interface ProberHost {
  readonly clock: Clock;
  random(): number;
  getPeers(): readonly Member[];
  tryGetPeer(host: string): Member | undefined;
  /**
   * Sends a probe; with a target, asks the receiver to probe the target
   * instead.
   */
  send(to: Seed, sequence: number, target: string | undefined): void;
  /**
   * Called when neither a direct nor an indirect probe of the host was
   * acknowledged in time.
   */
  onProbeFailed(host: string): void;
}

/** Timing of probes and number of indirect probes; times are in ms. */
export interface ProberOptions {
  readonly periodMs: number;
  readonly ackTimeoutMs: number;
  readonly indirectProbes: number;
}

/**
 * The host that requested an indirect probe, and the sequence number of its own
 * probe.
 */
export interface ProbeRequester {
  readonly address: string;
  readonly sequence: number;
}

/** Sends the probes of one host. */
export interface Prober {
  /** Probes the next host of the round. */
  probeNext(): void;
  /** Probes one host; a missing acknowledgement has no consequence. */
  probeOnce(to: Seed): void;
  /** Probes the target on behalf of another host. */
  probeOnBehalf(target: Member, requester: ProbeRequester): void;
  /**
   * Requests indirect probes, or reports failure, for probes without
   * acknowledgement.
   */
  checkTimeouts(): void;
  /**
   * Ends the probe with this sequence number. Returns the host that requested
   * it, for an indirect probe, or else the host that was probed.
   */
  completeProbe(
    sequence: number,
  ): { readonly requester?: ProbeRequester; readonly probed?: string };
  /** Cancels all outstanding probes. */
  cancelAll(): void;
}

interface Probe {
  readonly kind: "round" | "check" | "relay";
  readonly host: string;
  readonly sentMs: number;
  readonly requester?: ProbeRequester;
  hasIndirectProbes: boolean;
}

/** Time-out of a probe, including its indirect probes, in periods. */
const PROBE_TIMEOUT_PERIODS = 2;

/** Creates a prober without outstanding probes. */
export function createProber(
  options: ProberOptions,
  host: ProberHost,
): Prober {
  const probes = new Map<number, Probe>();
  let round: string[] = [];
  let sequence = 0;

  function send(
    to: Seed,
    kind: Probe["kind"],
    requester?: ProbeRequester,
  ): void {
    sequence++;
    probes.set(sequence, {
      kind,
      host: to.host,
      sentMs: host.clock.monotonicMs(),
      requester,
      hasIndirectProbes: false,
    });
    host.send(to, sequence, undefined);
  }

  /**
   * Takes the next host of a round in which each peer is probed once, which
   * bounds the time between two probes of one host.
   */
  function tryTakeNext(): Member | undefined {
    if (round.length === 0) {
      const names = host.getPeers().map((each) => each.host);
      round = shuffle(names, host.random);
    }
    while (round.length > 0) {
      const next = host.tryGetPeer(round.pop()!);
      if (next !== undefined) return next;
    }
    return undefined;
  }

  function requestIndirectProbes(probeSequence: number, target: string): void {
    const helpers = host.getPeers().filter((member) =>
      member.host !== target && member.state === "alive"
    );
    const count = Math.min(options.indirectProbes, helpers.length);
    const first = Math.floor(host.random() * helpers.length);
    for (let each = 0; each < count; each++) {
      const helper = helpers[(first + each) % helpers.length]!;
      host.send(helper, probeSequence, target);
    }
  }

  return {
    probeNext() {
      const next = tryTakeNext();
      if (next !== undefined) send(next, "round");
    },
    probeOnce: (to) => send(to, "check"),
    probeOnBehalf: (target, { address, sequence: requesterSequence }) =>
      send(target, "relay", { address, sequence: requesterSequence }),
    checkTimeouts() {
      const nowMs = host.clock.monotonicMs();
      for (const [probeSequence, probe] of probes) {
        const waitedMs = nowMs - probe.sentMs;
        if (waitedMs >= options.periodMs * PROBE_TIMEOUT_PERIODS) {
          probes.delete(probeSequence);
          if (probe.kind === "round") host.onProbeFailed(probe.host);
        } else if (
          probe.kind === "round" && !probe.hasIndirectProbes &&
          waitedMs >= options.ackTimeoutMs
        ) {
          probe.hasIndirectProbes = true;
          requestIndirectProbes(probeSequence, probe.host);
        }
      }
    },
    completeProbe(ackSequence) {
      const probe = probes.get(ackSequence);
      probes.delete(ackSequence);
      if (probe === undefined) return {};
      return probe.kind === "relay"
        ? { requester: probe.requester }
        : { probed: probe.host };
    },
    cancelAll: () => probes.clear(),
  };
}

function shuffle(items: string[], random: () => number): string[] {
  for (let last = items.length - 1; last > 0; last--) {
    const other = Math.floor(random() * (last + 1));
    [items[last], items[other]] = [items[other]!, items[last]!];
  }
  return items;
}
