/**
 * The state of one request while it is forwarded: its inputs, and what has been
 * done for it so far.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Agent, IncomingMessage, ServerResponse } from "node:http";
import type { RetryBudget } from "../admission/mod.ts";
import type { Clock } from "../core/mod.ts";
import type { CrashWatch } from "../crashes/mod.ts";
import type {
  Decision,
  Inputs,
  LoggedBody,
  SilencePhase,
} from "../diagnostics/mod.ts";
import type {
  UpstreamDirectory,
  UpstreamEntry,
  UpstreamInstance,
} from "../discovery/mod.ts";
import type { LoadView } from "../load/mod.ts";
import type { Distance, PrefixFetchReason } from "../placement/mod.ts";
import type { PacingRecorder } from "../pacing/mod.ts";
import type { PrefixPlacements } from "../prefixes/mod.ts";
import type { PromptQueue } from "../queue/mod.ts";
import type { Route, RouteTable } from "../routing/mod.ts";
import type { StreamVersions } from "../stream_versions/mod.ts";
import type { BackoffWatch, HealthWatch } from "../upstreams/mod.ts";
import type { WarmUps } from "../warmup/mod.ts";
import type { AttemptTrace } from "./attempt_trace.ts";
import type { BodyTrace } from "./body_trace.ts";
import type { Ending } from "../types.ts";
import type { HeldMemory } from "./held_memory.ts";
import type { IncarnationProofs } from "./incarnation_proofs.ts";
import type { SilenceWatch } from "./silence_watch.ts";
import type { CallCodec, CallHeaders } from "./types.ts";

/** Dependencies of forwarding, supplied by the process. */
export interface ForwardHost {
  readonly clock: Clock;
  /** Start time of this process, in monotonic ms. */
  readonly startedMs: number;
  readonly codec: CallCodec;
  readonly agent: Agent;
  readonly directory: UpstreamDirectory;
  /** Called when a response states that the upstream instance is leaving. */
  markLeaving(instance: UpstreamInstance): void;
  readonly queue: PromptQueue;
  readonly load: LoadView;
  /**
   * Returns the recorder of samples for the prefill limits of the upstream and
   * of its service.
   */
  getPacing(upstream: UpstreamEntry): PacingRecorder;
  /** Learned prefill speed of the service's upstreams, in ms per token. */
  getPrefillMsPerToken(service: string): number;
  /**
   * Returns the share of the shared prefixes that the upstream is preferred
   * for, relative to the other upstreams; 1 unless its speed is known to
   * differ.
   */
  getWeight(upstream: UpstreamEntry): number;
  /** Which upstreams hold which shared prefixes. */
  readonly prefixes: Pick<
    PrefixPlacements,
    "getPrefix" | "getHolders" | "getRevision" | "record"
  >;
  readonly health: HealthWatch;
  readonly backoffs: BackoffWatch;
  readonly crashes: CrashWatch;
  readonly streamVersions: Pick<StreamVersions, "find" | "recordBegun">;
  readonly incarnations: IncarnationProofs;
  readonly retryBudget: RetryBudget;
  readonly requestMemory: HeldMemory;
  readonly responseMemory: HeldMemory;
  tryGetRoutes(): RouteTable | undefined;
  /** Returns the region of a data centre; `undefined` if it is not declared. */
  getRegion(dataCentre: string): string | undefined;
  /**
   * The evacuated data centres, which get no new requests. Another set after
   * each change.
   */
  getEvacuated(): ReadonlySet<string>;
  readonly warmUps: WarmUps;
  /** Called when a response states how long its upstream stays cold, in ms. */
  recordWarmUp(upstream: UpstreamEntry, leftMs: number): void;
  /** Returns how far a data centre is from this host. */
  getDistance(dataCentre: string): Distance;
  /**
   * Whether the event loop lags so far behind that a new request could not be
   * served in time.
   */
  isOverloaded(): boolean;
  /**
   * Time by which the current event-loop iteration exceeds its expected period,
   * in ms.
   */
  getTurnOverrunMs(): number;
  /**
   * Upper bound, in ms, of the time for which input that is read now has waited
   * in the socket while the event loop was busy.
   */
  getUnreadMs(): number;
  /**
   * Upper bound, in ms, of the time for which an end of a connection that is
   * read now has waited, also while this process or its machine was suspended.
   */
  getStalledMs(): number;
  /**
   * Whether the request may start with this deadline, in monotonic ms: as a rule,
   * if this process, and one that relays the connection, run until then.
   */
  mayStartRequest(req: IncomingMessage, deadlineMs: number): boolean;
  /**
   * Calls `run` when this process, or one that relays the connection of the
   * request, is about to exit, unless disposed of before.
   */
  onEnding(req: IncomingMessage, run: (ending: Ending) => void): Disposable;
  /**
   * Returns the name of the relay by which the request came, if its connection
   * was handed off to this host; it is in the log lines of both hosts.
   */
  tryGetRelay(req: IncomingMessage): string | undefined;
  getInputs(): Inputs;
  log(decision: Decision): void;
  onRequestEnded(end: CallEnd): void;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  random(): number;
}

/** The end of a request, as reported to the metrics. */
export interface CallEnd {
  readonly route: string | undefined;
  readonly outcome: string;
  readonly status: number;
  readonly totalMs: number;
  readonly firstEventMs: number | undefined;
  /**
   * Time for which it waited until the queue refused it, in ms; `undefined` if
   * the queue did not.
   */
  readonly refusedAfterMs: number | undefined;
}

/** A request that is being served, with its route and body. */
export interface Call {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly headers: CallHeaders;
  readonly route: Route;
  readonly team: string | undefined;
  readonly service: string;
  readonly body: Buffer;
  /**
   * Digest of path, team and body: equal for every resend of the same request.
   */
  readonly fingerprint: string;
  /** Names of the parts of its prompt that other requests may have as well. */
  readonly parts: readonly string[];
  /** Monotonic milliseconds. */
  readonly arrivedMs: number;
  /**
   * Monotonic milliseconds at which either the caller's time-out or the route's
   * time-out expires, whichever is earlier.
   */
  readonly deadlineMs: number;
  readonly progress: Progress;
}

/** What has been done for a request so far. Updated while it is served. */
export interface Progress {
  /**
   * Monotonic milliseconds at which a prompt joined the queue; `undefined` for
   * requests that are not queued.
   */
  queuedAtMs: number | undefined;
  /** Number of upstreams to which the request was sent. */
  attempts: number;
  /** Number of upstreams that may have run the request. */
  possibleRuns: number;
  /** Ids of the upstreams that must not be tried again. */
  readonly triedUpstreams: Set<string>;
  /**
   * The latest attempt, or the one that goes on where another was to replace it
   * and did not; `undefined` before the first.
   */
  attempt: Attempt | undefined;
  /** Whether only healthy upstreams may take the request over. */
  needsHealthy: boolean;
  /** Whether its tokens count in what its team has asked for. */
  isDemandRecorded: boolean;
  /**
   * Id of the upstream for which the request was counted against a warm-up
   * limit when it was picked.
   */
  countedWarmUpOf: string | undefined;
  /**
   * Functions that remove the request's tokens from the load of each upstream
   * that was picked. Kept here and not only with the picked upstreams, because a
   * caller may disconnect just as its prompt is picked: without them its tokens
   * would count as load forever.
   */
  readonly prefillEnds: (() => void)[];
  /**
   * Software versions of the upstreams whose events were relayed, in the order
   * of their first ones; `undefined` for an upstream that names none.
   */
  readonly eventVersions: Set<string | undefined>;
  /** Where the stream began; `undefined` until it is known. */
  origin: StreamOrigin | undefined;
  /** Id of the last event that was sent to the caller. */
  lastEventId: string | undefined;
  firstEventMs: number | undefined;
  /** Phase of the latest time-out of an attempt; `undefined` without one. */
  silentPhase: SilencePhase | undefined;
  /**
   * Number of event chunks relayed; the next property is the longest time
   * between two of them, in ms.
   */
  chunks: number;
  longestPauseMs: number;
  status: number;
}

/** Where a stream began, at this host or at another. */
export interface StreamOrigin {
  /**
   * Software version of the upstream that brought the first event, as its entry
   * named it when the upstream was picked; `undefined` if it named none.
   */
  readonly softwareVersion: string | undefined;
}

/** The fetch of a prompt's shared prefix by the upstream that was picked. */
export interface PickedFetch {
  /**
   * The upstream to fetch from; `undefined` if it could not be fetched from any
   * more when the prompt started. The prefix is then prefilled.
   */
  readonly source: UpstreamEntry | undefined;
  /** Cost that was counted, in prefill tokens. */
  readonly tokens: number;
  readonly reason: PrefixFetchReason;
}

/** One attempt of a request at one upstream. */
export interface Attempt {
  readonly upstream: UpstreamEntry;
  /** Monotonic milliseconds. */
  readonly startedMs: number;
  /** Whether the upstream was cold at the start. */
  readonly isUpstreamCold: boolean;
  /**
   * Tokens that the upstream has to prefill before the first event; `undefined`
   * if the request was not queued.
   */
  readonly queuedTokens: number | undefined;
  /**
   * `undefined` if the upstream was not expected to fetch the prompt's shared
   * prefix.
   */
  readonly fetch: PickedFetch | undefined;
  readonly silence: SilenceWatch;
  readonly trace: AttemptTrace;
  /** Removes the request's tokens from the upstream's load, once. */
  endPrefill(): void;
  /** To be called when the first byte of the request may have left this host. */
  onSent(): void;
  isSent: boolean;
  /** Monotonic time of the first events of its response; `undefined` before. */
  firstEventsMs: number | undefined;
  /** Whether its response has shown that its upstream survives the parts. */
  isProven: boolean;
  /** Number of upstreams to which the request had been sent, this one included. */
  number: number;
  /**
   * The body of the response; `undefined` without one, and once it has been
   * logged.
   */
  bodyTrace: BodyTrace | undefined;
}

/** Creates the progress of a request that has not been attempted. */
export function createProgress(lastEventId: string | undefined): Progress {
  return {
    queuedAtMs: undefined,
    attempts: 0,
    possibleRuns: 0,
    triedUpstreams: new Set(),
    attempt: undefined,
    needsHealthy: false,
    isDemandRecorded: false,
    countedWarmUpOf: undefined,
    prefillEnds: [],
    eventVersions: new Set(),
    origin: undefined,
    lastEventId,
    firstEventMs: undefined,
    silentPhase: undefined,
    chunks: 0,
    longestPauseMs: 0,
    status: 0,
  };
}

/** Whether the request waits in the queue of prompts for an upstream. */
export function isQueued({ route, headers }: Call): boolean {
  return route.hasPrompts && headers.prompt !== undefined;
}

/**
 * Whether the version of the upstream must be proven before the request is sent:
 * a stream goes on there, or another upstream may have to go on with it.
 */
export function needsProof({ route, progress }: Call): boolean {
  return route.kind === "stream" &&
    (route.isResumable || progress.origin !== undefined);
}

/** Returns the time until the request's deadline, in ms. */
export function getRemainingMs(host: ForwardHost, call: Call): number {
  return call.deadlineMs - host.clock.monotonicMs();
}

/**
 * Returns the body of an attempt's response for the log, once: each body is in
 * exactly one line.
 */
export function takeLoggedBody(
  host: ForwardHost,
  attempt: Attempt | undefined,
): LoggedBody | undefined {
  const body = attempt?.bodyTrace?.toLog(host.clock.monotonicMs());
  if (attempt !== undefined) attempt.bodyTrace = undefined;
  return body;
}
