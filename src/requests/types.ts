/**
 * What serving a request needs of the process, and how a request ends for the
 * record.
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

/** What serving needs of the process. */
export interface ServeHost {
  readonly id: string;
  readonly dataCentre: string;
  /** Start of this process in wall milliseconds. */
  readonly incarnation: number;
  /** Signs resume tokens; the same at all hosts. */
  readonly fleetSecret: string;
  readonly clock: Clock;
  readonly slots: SlotClient;
  readonly claims: Claims;
  readonly upstreams: UpstreamClient;
  readonly health: UpstreamHealth;
  readonly occupancy: UpstreamLocks;
  readonly quarantine: Quarantine;
  readonly recorder: Recorder;
  readonly backlog: Backlog;
  readonly retryBudget: RetryBudget;
  getDeployment(): Deployment | undefined;
  isDraining(): boolean;
  /** Succeeds when a host that is leaving can't let requests wait longer. */
  readonly waitUntilGivingUp: Effect.Effect<void>;
  /** True when that process of the host is known to be dead. */
  isProcessGone(host: string, incarnation: number): boolean;
  /** Charges a team for service that no slot of this host stands for. */
  charge(service: string, team: string, cost: number): void;
  /** Goes on with the effect after the request has ended. */
  runDetached(effect: Effect.Effect<unknown>): void;
  /** Tells metrics and log how the request ended. */
  onEnded(request: string, end: RequestEnd): void;
}

/** How a request ended, for the record. */
export interface RequestEnd {
  readonly outcome: "answered" | "not-run" | "may-have-run" | "caller-lost";
  readonly team: string;
  readonly service: string;
  readonly cost: number;
  readonly waitedMs: number;
  readonly reason: string;
}

/** What happened to a request so far, over all its runs. */
export interface Progress {
  /** Next offset that the caller needs. */
  nextOffset: number;
  /** Service used by the present run, in cost units. */
  cost: number;
  /** From the start of the run to its first token or byte; 0 before it. */
  firstByteMs: number;
  /** Time spent waiting for the tokens after the first, and their number. */
  tokenWaitMs: number;
  laterTokens: number;
  /** True once the present run's first byte may have gone upstream. */
  isSent: boolean;
  /** True once any run may have had an effect: no more "not run" after that. */
  mayHaveRun: boolean;
  /** True while no other run of a suspect's content may go on. */
  hasTurn: boolean;
  /** True while the present run has its upstream alone. */
  isAlone: boolean;
  /**
   * Set when the run ended while its upstream may still work on it: ends when
   * it no longer does, with the cost. The slot is given back only then.
   */
  leftover: Effect.Effect<number> | undefined;
}

/** Makes the progress of a request that did nothing yet. */
export function createProgress(): Progress {
  return {
    nextOffset: 0,
    cost: 0,
    firstByteMs: 0,
    tokenWaitMs: 0,
    laterTokens: 0,
    isSent: false,
    mayHaveRun: false,
    hasTurn: false,
    isAlone: false,
    leftover: undefined,
  };
}

/** Forgets the last run; what the request as a whole came to stays. */
export function startRun(progress: Progress): void {
  progress.cost = 0;
  progress.firstByteMs = 0;
  progress.tokenWaitMs = 0;
  progress.laterTokens = 0;
  progress.isSent = false;
  progress.leftover = undefined;
}

/** Mean time between the tokens of the last run, in ms; 0 for none. */
export function getTokenIntervalMs(progress: Progress): number {
  const { tokenWaitMs, laterTokens } = progress;
  return laterTokens === 0 ? 0 : tokenWaitMs / laterTokens;
}

/** Time until the request's deadline, in whole ms; at least 1. */
export function getRemainingMs(
  host: ServeHost,
  admitted: AdmittedRequest,
): number {
  const leftMs = admitted.deadlineMs - host.clock.monotonicMs();
  return Math.max(1, Math.floor(leftMs));
}
