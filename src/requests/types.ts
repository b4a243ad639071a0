/**
 * Dependencies of serving a request, its progress, and its end.
 *
 * @module
 */

import type * as Effect from "effect/Effect";
import type { Backlog, RetryBudget } from "../admission/mod.ts";
import type { Claims } from "../claims/mod.ts";
import type { Clock } from "../core/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { SlotClient } from "../slots/mod.ts";
import type { Recorder } from "../timeline/mod.ts";
import type { AdmittedRequest, Deployment } from "../types.ts";
import type {
  UpstreamClient,
  UpstreamHealth,
  UpstreamLocks,
} from "../upstreams/mod.ts";

/** Dependencies of serving a request, supplied by the process. */
export interface ServeHost {
  readonly id: string;
  readonly dataCentre: string;
  /** Start of this process, in wall-clock milliseconds. */
  readonly incarnation: number;
  /** Key that signs resume tokens; equal at all hosts. */
  readonly fleetSecret: string;
  readonly clock: Clock;
  readonly slots: SlotClient;
  readonly claims: Claims;
  readonly upstreams: UpstreamClient;
  readonly health: UpstreamHealth;
  readonly locks: UpstreamLocks;
  readonly quarantine: Quarantine;
  readonly recorder: Recorder;
  readonly backlog: Backlog;
  readonly retryBudget: RetryBudget;
  getDeployment(): Deployment | undefined;
  isDraining(): boolean;
  /** Succeeds when a draining host can no longer let requests wait. */
  readonly waitUntilDrainTimeout: Effect.Effect<void>;
  /** Whether the given process of the host is known to be dead. */
  isProcessDead(host: string, incarnation: number): boolean;
  /** Charges a team for a request that uses no slot of this host. */
  charge(service: string, team: string, cost: number): void;
  /** Runs the effect independently of the request, which may end before it. */
  runDetached(effect: Effect.Effect<unknown>): void;
  /** Reports the end of a request to metrics and log. */
  onEnded(request: string, end: RequestEnd): void;
}

/** How a request ended, for metrics and log. */
export interface RequestEnd {
  readonly outcome: "answered" | "not-run" | "may-have-run" | "caller-lost";
  readonly team: string;
  readonly service: string;
  readonly cost: number;
  readonly waitedMs: number;
  readonly reason: string;
}

/** Progress of a request over all its attempts. */
export interface Progress {
  /** Next stream offset that the caller needs. */
  nextOffset: number;
  /** Cost of the current attempt, in cost units. */
  cost: number;
  /**
   * Time from the start of the attempt to its first token or byte, in ms; 0
   * before.
   */
  firstByteMs: number;
  /**
   * Time spent waiting for the tokens after the first, in ms, and their number.
   */
  tokenWaitMs: number;
  laterTokens: number;
  /**
   * True once the first byte of the current attempt may have been sent
   * upstream.
   */
  isSent: boolean;
  /**
   * True once any attempt may have had an effect: the outcome can then no
   * longer be "not-run".
   */
  mayHaveRun: boolean;
  /**
   * True while this request holds the fleet-wide trial of a suspect's content.
   */
  hasTrial: boolean;
  /**
   * True while the current attempt has exclusive use of its upstream at this
   * host.
   */
  hasExclusiveUse: boolean;
  /**
   * Set when the attempt ended while its upstream may still be working on it.
   * The effect ends when the upstream has stopped, with the cost; the slot is
   * released only then.
   */
  pendingUpstreamWork: Effect.Effect<number> | undefined;
}

/** Creates the progress of a request that has not started. */
export function createProgress(): Progress {
  return {
    nextOffset: 0,
    cost: 0,
    firstByteMs: 0,
    tokenWaitMs: 0,
    laterTokens: 0,
    isSent: false,
    mayHaveRun: false,
    hasTrial: false,
    hasExclusiveUse: false,
    pendingUpstreamWork: undefined,
  };
}

/**
 * Resets the fields of the current attempt; those of the whole request stay.
 */
export function resetForAttempt(progress: Progress): void {
  progress.cost = 0;
  progress.firstByteMs = 0;
  progress.tokenWaitMs = 0;
  progress.laterTokens = 0;
  progress.isSent = false;
  progress.pendingUpstreamWork = undefined;
}

/**
 * Mean time between the tokens of the last attempt, in ms; 0 when there were
 * fewer than two.
 */
export function getTokenIntervalMs(progress: Progress): number {
  const { tokenWaitMs, laterTokens } = progress;
  return laterTokens === 0 ? 0 : tokenWaitMs / laterTokens;
}

/** Time until the deadline of the request, in whole ms; at least 1. */
export function getRemainingMs(
  host: ServeHost,
  admitted: AdmittedRequest,
): number {
  const remainingMs = admitted.deadlineMs - host.clock.monotonicMs();
  return Math.max(1, Math.floor(remainingMs));
}
