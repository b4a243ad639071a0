/**
 * Probes under way: one other host each period in a random round, by way of two
 * helpers when no reply comes, and single checks of hosts that are in doubt.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Member, Seed } from "./types.ts";

/** What probing needs of the protocol. */
export interface ProberHost {
  readonly clock: Clock;
  random(): number;
  getPeers(): readonly Member[];
  tryGetPeer(host: string): Member | undefined;
  /** Sends a probe; with a target, asks the receiver to probe that. */
  send(to: Seed, sequence: number, target: string | undefined): void;
  /** Neither the host nor the helpers have replied. */
  onProbeFailed(host: string): void;
}

/** Times and sizes of probing. */
export interface ProberOptions {
  readonly periodMs: number;
  readonly ackTimeoutMs: number;
  readonly indirectProbes: number;
}

/** A probe that another host has asked for. */
export interface ProbeRequester {
  readonly address: string;
  readonly sequence: number;
}

/** The probes of one host. */
export interface Prober {
  /** Probes the next member of the round. */
  probeNext(): void;
  /** Asks one host; silence has no consequence. */
  probeOnce(to: Seed): void;
  /** Probes the target for another host. */
  probeOnBehalf(target: Member, requester: ProbeRequester): void;
  /** Asks helpers, or gives up, where no reply came. */
  checkTimeouts(): void;
  /** Whose probe the acknowledgement ends. */
  completeProbe(
    sequence: number,
  ): { readonly requester?: ProbeRequester; readonly probed?: string };
  /** Forgets all probes under way. */
  cancelAll(): void;
}

interface Probe {
  readonly kind: "round" | "check" | "relay";
  readonly host: string;
  readonly sentMs: number;
  readonly requester?: ProbeRequester;
  hasIndirectProbes: boolean;
}

/** A probe, with its helpers' replies, takes at most so many periods. */
const PROBE_TIMEOUT_PERIODS = 2;

/** Makes the probes of one host; none is under way. */
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
      requester: requester,
      hasIndirectProbes: false,
    });
    host.send(to, sequence, undefined);
  }

  /** Each member once a round, so that none is left out for long. */
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
