/**
 * The way of callers' connections to the hosts that serve them, in virtual time:
 * each host's processor accepts them, and the real handoff policy decides where
 * they are served.
 *
 * @module
 */

import {
  CALLER_ABANDON_MS,
  createEventLoopUtilization,
  createHandoffPolicy,
  type EventLoopUtilization,
  type HandoffPolicy,
  MAX_HANDOFF_ATTEMPTS,
  mayTakeConnection,
} from "../handoff/mod.ts";
import type { LoadPeer } from "../load/mod.ts";
import type { ProcessorUse } from "../types.ts";
import type { Random } from "./random.ts";
import {
  createSimulatedProcessor,
  type SimulatedProcessor,
} from "./simulated_processor.ts";
import type { VirtualScheduler } from "./virtual_scheduler.ts";

/** Dependencies of the connections. */
export interface SimulatedIntakeOptions {
  readonly scheduler: VirtualScheduler;
  readonly random: Random;
  readonly peers: readonly LoadPeer[];
  /** Share of a core that each host has for connections and requests. */
  readonly coreShare: number;
  /** One-way latency between hosts, in ms. */
  readonly linkMs: number;
}

/** The connections of callers to all hosts. */
export interface SimulatedIntake {
  /**
   * Opens a connection to the host. Calls `serve` with the host that serves it,
   * or never, if it isn't accepted before its caller gives up.
   */
  connect(hostAt: number, serve: (hostAt: number) => void): void;
  /** Does work of this many ms of a core at the host, then calls `run`. */
  work(hostAt: number, coreMs: number, run?: () => void): void;
  /** How much of its processor time the host uses. */
  getProcessorUse(hostAt: number): ProcessorUse;
  /** To be called many times per second. */
  tick(): void;
}

/**
 * What each piece of work takes, in ms of a core: to accept a connection, to ask
 * a neighbour, to answer one, and to relay a connection from begin to end.
 */
const ACCEPT_MS = 0.3;
const ASK_MS = 0.3;
const ANSWER_MS = 0.3;
const RELAY_MS = 1.2;

/** Time for which a handed-off connection stays open. */
const RELAYED_MS = 1_000;

/** Connections that a host relays at most. */
const MAX_OPEN = 500;

interface IntakeHost {
  readonly processor: SimulatedProcessor;
  readonly utilization: EventLoopUtilization;
  readonly policy: HandoffPolicy;
}

/** Creates hosts without connections. */
export function createSimulatedIntake(
  options: SimulatedIntakeOptions,
): SimulatedIntake {
  const { scheduler, random, peers, linkMs } = options;
  const { clock, after } = scheduler;
  const hosts = peers.map(createHost);

  function getNeighbours(dataCentre: string): readonly string[] {
    return peers.filter((each) => each.dataCentre === dataCentre)
      .map((each) => each.peerAddress);
  }

  function createHost({ peerAddress, dataCentre }: LoadPeer): IntakeHost {
    const processor = createSimulatedProcessor(scheduler, options.coreShare);
    const utilization = createEventLoopUtilization(clock, processor.readTimes);
    const neighbours = getNeighbours(dataCentre);
    const policy = createHandoffPolicy({
      clock,
      self: peerAddress,
      maxOpen: MAX_OPEN,
      random,
      getUtilization: utilization.get,
      isDraining: () => false,
      getAliveHosts: () => neighbours,
      isFull: () => false,
    });
    return { processor, utilization, policy };
  }

  function getHostAt(peerAddress: string): number {
    return peers.findIndex((each) => each.peerAddress === peerAddress);
  }

  function mayTake(hostAt: number, originUtilization: number): boolean {
    const { utilization } = hosts[hostAt]!;
    return mayTakeConnection({
      utilization: utilization.get(),
      originUtilization,
      isDraining: false,
      isConfigured: true,
      open: 0,
      maxOpen: MAX_OPEN,
    });
  }

  function tryHandOff(
    originAt: number,
    attempt: number,
    serve: (hostAt: number) => void,
  ): void {
    const { policy, processor, utilization } = hosts[originAt]!;
    const originUtilization = utilization.get();
    const isAsking = attempt <= MAX_HANDOFF_ATTEMPTS && policy.mayHandOff();
    const target = isAsking ? policy.tryBegin() : undefined;
    if (target === undefined) return serve(originAt);
    const targetAt = getHostAt(target);

    function onAnswer(isTaken: boolean): void {
      policy.recordOutcome(target!, isTaken ? "taken" : "refused");
      if (!isTaken) return tryHandOff(originAt, attempt + 1, serve);
      processor.work(RELAY_MS);
      after(RELAYED_MS, () => policy.end(target!));
      serve(targetAt);
    }

    processor.work(
      ASK_MS,
      () =>
        after(linkMs, () =>
          hosts[targetAt]!.processor.work(ANSWER_MS, () => {
            const isTaken = mayTake(targetAt, originUtilization);
            if (!isTaken) hosts[targetAt]!.policy.recordRefusal();
            after(linkMs, () => onAnswer(isTaken));
          })),
    );
  }

  return {
    connect(hostAt, serve) {
      const openedMs = clock.monotonicMs();
      hosts[hostAt]!.processor.work(ACCEPT_MS, () => {
        const waitedMs = clock.monotonicMs() - openedMs;
        if (waitedMs < CALLER_ABANDON_MS) tryHandOff(hostAt, 1, serve);
      });
    },
    work: (hostAt, coreMs, run) => hosts[hostAt]!.processor.work(coreMs, run),
    getProcessorUse(hostAt) {
      const { policy, utilization } = hosts[hostAt]!;
      return {
        utilization: utilization.get(),
        isShort: policy.isShortOfTime(),
      };
    },
    tick() {
      for (const { utilization } of hosts) utilization.tick();
    },
  };
}
