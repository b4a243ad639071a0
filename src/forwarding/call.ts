/**
 * One request of a caller on its way: what is known of it, and what has been
 * done so far.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Agent, IncomingMessage, ServerResponse } from "node:http";
import type { RetryBudget } from "../admission/mod.ts";
import type { Clock } from "../core/mod.ts";
import type { Decision, Inputs } from "../diagnostics/mod.ts";
import type {
  UpstreamDirectory,
  UpstreamEntry,
  UpstreamInstance,
} from "../discovery/mod.ts";
import type { LoadView } from "../load/mod.ts";
import type { Distance } from "../placement/mod.ts";
import type { Pacing } from "../pacing/mod.ts";
import type { PromptQueue } from "../queue/mod.ts";
import type { Route, RouteTable } from "../routing/mod.ts";
import type { HealthWatch, RestWatch } from "../upstreams/mod.ts";
import type { CrashWatch } from "./crash_watch.ts";
import type { CallCodec, CallHeaders } from "./types.ts";

/** What forwarding needs of the process. */
export interface ForwardHost {
  readonly clock: Clock;
  /** Start of this process, in monotonic ms. */
  readonly startedMs: number;
  readonly codec: CallCodec;
  readonly agent: Agent;
  readonly directory: UpstreamDirectory;
  /** An upstream has said in an answer that it leaves. */
  noteLeaving(life: UpstreamInstance): void;
  readonly queue: PromptQueue;
  readonly load: LoadView;
  /** What has been seen of the service, and what its upstreams may read. */
  getPacing(service: string): Pacing;
  readonly health: HealthWatch;
  readonly rests: RestWatch;
  readonly crashes: CrashWatch;
  readonly retryBudget: RetryBudget;
  tryGetRoutes(): RouteTable | undefined;
  /** How far the upstream's data centre is from this host. */
  getDistance(dataCentre: string): Distance;
  /** This process is so busy that a new request would come too late. */
  isBehind(): boolean;
  /** How long the present turn of the event loop has taken, in ms. */
  getTurnMs(): number;
  /** How long a request that is read now may have waited unread, in ms. */
  getUnreadMs(): number;
  /** Whether the time left to this process allows the request to end. */
  mayStart(expectedMs: number): boolean;
  getInputs(): Inputs;
  log(decision: Decision): void;
  onEnded(end: CallEnd): void;
  /** From 0 up to 1. */
  random(): number;
}

/** How a request ended, for the metrics. */
export interface CallEnd {
  readonly route: string | undefined;
  readonly outcome: string;
  readonly status: number;
  readonly totalMs: number;
  readonly firstEventMs: number | undefined;
}

/** A request that is being served. */
export interface Call {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly headers: CallHeaders;
  readonly route: Route;
  readonly team: string | undefined;
  readonly service: string;
  readonly body: Buffer;
  /** Same for each resend of the same content. */
  readonly fingerprint: string;
  /** Monotonic milliseconds. */
  readonly arrivedMs: number;
  /** By then the caller has left, or the operator wants it ended. */
  readonly deadlineMs: number;
  readonly progress: Progress;
}

/** What has been done for a request. */
export interface Progress {
  /** Monotonic milliseconds; of a prompt that waits or has waited. */
  queuedAtMs: number | undefined;
  /** Upstreams that were sent the request. */
  attempts: number;
  /** Upstreams that may have run it. */
  runs: number;
  /** Upstreams that should not be asked again. */
  readonly tried: Set<string>;
  upstream: UpstreamEntry | undefined;
  /**
   * Ends what counts as being read for the request. Kept here and not only with
   * the picked upstream: a caller that leaves just as its prompt is picked
   * would else leave tokens behind that count for good.
   */
  endReading: () => void;
  /** Id of the last event that the caller was sent. */
  lastEventId: string | undefined;
  firstEventMs: number | undefined;
  /** Monotonic milliseconds at which the latest attempt began. */
  attemptedMs: number;
  /** Chunks of events passed on, and the longest time between two, in ms. */
  chunks: number;
  longestPauseMs: number;
  status: number;
}

/** Makes the state of a request for which nothing has been done. */
export function createProgress(lastEventId: string | undefined): Progress {
  return {
    queuedAtMs: undefined,
    attempts: 0,
    runs: 0,
    tried: new Set(),
    upstream: undefined,
    endReading: () => {},
    lastEventId,
    firstEventMs: undefined,
    attemptedMs: 0,
    chunks: 0,
    longestPauseMs: 0,
    status: 0,
  };
}

/** Time that is left for the request, in ms. */
export function getLeftMs(host: ForwardHost, call: Call): number {
  return call.deadlineMs - host.clock.monotonicMs();
}
