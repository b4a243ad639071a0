/**
 * A host of a simulation: the real prompt queue, pacing and load view of an entry
 * host, in virtual time. What it sends to upstreams and to other hosts is up to
 * the simulation.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import {
  createAggregationTree,
  createLoadReporter,
  createLoadView,
  type LoadPeer,
  type LoadReporter,
  type LoadView,
} from "../load/mod.ts";
import { createPacing, type Pacing } from "../pacing/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import {
  createPromptQueue,
  defaultPromptQueueOptions,
  getLoadFunctions,
  type PromptQueue,
  type PromptQueueOptions,
} from "../queue/mod.ts";
import type { ProcessorUse } from "../types.ts";
import type { Random } from "./random.ts";

/** Name of the one service of simulations. */
export const SIMULATED_SERVICE = "model";

const NO_PROCESSOR_USE: ProcessorUse = { utilization: 0, isShort: false };

/** What a host of a simulation is given. */
export interface SimulatedHostOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly self: LoadPeer;
  /** All hosts, this one included. */
  readonly peers: readonly LoadPeer[];
  /** Requests that an upstream runs at the same time. */
  readonly slots: number;
  /** Capacity of the upstreams as stated by operators, in tokens per second. */
  readonly statedCapacity: number;
  /** Target for the first event by which the prefill limit is learned, in ms. */
  readonly targetMs: number;
  /** Fixed prefill limit of an upstream; learned if absent. */
  readonly limitTokens?: number | undefined;
  /** By default no work takes processor time. */
  getProcessorUse?(): ProcessorUse;
  /** The default policy if absent. */
  readonly queue?: PromptQueueOptions;
  /** Called when a prompt starts, once its prefill and service are counted. */
  onStart?(view: LoadView, upstream: string): void;
}

/** A host of a simulation. */
export interface SimulatedHost {
  readonly view: LoadView;
  readonly pacing: Pacing;
  readonly reporter: LoadReporter;
  readonly queue: PromptQueue;
}

/** Creates `count` hosts in turn in each data centre. */
export function createSimulatedPeers(
  count: number,
  dataCentres = 1,
): readonly LoadPeer[] {
  return Array.from({ length: count }, (_, at) => ({
    peerAddress: `host-${at}`,
    dataCentre: `data-centre-${at % dataCentres}`,
  }));
}

/** Creates a host that has served nobody. */
export function createSimulatedHost(
  options: SimulatedHostOptions,
): SimulatedHost {
  const { clock, self, targetMs } = options;
  const nowMs = clock.monotonicMs;
  const service = getNameDigest(SIMULATED_SERVICE);
  const view = createLoadView({
    clock,
    getDigest: getNameDigest,
    isAlive: () => true,
    getStatedCapacity: () => options.statedCapacity,
    getLearned: () => [{ ...pacing.getStats(), service }],
  });
  const pacing: Pacing = createPacing({
    nowMs,
    getRemoteStats: () => view.getOthersLearned(SIMULATED_SERVICE),
    onChanged: () => {},
  });
  const getHosts = () => options.peers;
  const reporter = createLoadReporter({
    clock,
    self,
    tree: createAggregationTree({ clock, self, getHosts }),
    getHosts,
    getDigest: getNameDigest,
    createOwnContent: view.createOwnContent,
    onOthersLoad: view.receive,
  });
  const queue = createPromptQueue({
    ...getLoadFunctions(view),
    nowMs,
    getLoad: (upstream) => ({
      slots: options.slots,
      inFlight: view.getInFlight(upstream),
      readingTokens: view.getReadingTokens(upstream),
      underservedElsewhere: view.getUnderservedElsewhere(upstream),
      underservedTokens: view.getUnderservedTokens(upstream),
      yieldingElsewhere: view.getYieldingElsewhere(upstream),
      isWarmUpSpent: false,
    }),
    getLimitTokens: () =>
      options.limitTokens ?? pacing.getLimitTokens(targetMs),
    random: options.random,
    getProcessorUse: options.getProcessorUse ?? (() => NO_PROCESSOR_USE),
    onStart(prompt, upstream, readingTokens) {
      view.beginPrefill(upstream, readingTokens);
      view.recordBegun(prompt.team, prompt.serviceTokens);
      options.onStart?.(view, upstream);
    },
  }, options.queue ?? defaultPromptQueueOptions);
  return { view, pacing, reporter, queue };
}
