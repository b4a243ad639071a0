/**
 * Graceful shutdown (drain) of a router, from the first signal to the last byte
 * of the last response. The phases are:
 *
 * 1. `leaving`: the host announces that it leaves, and `/where` responses no
 *    longer list it. It still accepts requests, since callers cache an earlier
 *    `/where` response for its time to live.
 * 2. `refusing`: new requests are refused as "not run", with a list of other
 *    hosts. Waiting requests keep their places and are served: another host
 *    would put them at the end of its queue, and here they hold only memory.
 * 3. `giving-up`, shortly before the drain limit: requests that still wait end
 *    as "not run" while there is time to reply to them.
 * 4. `ended`, at the limit or once nothing is in flight: requests that still
 *    run end as "may have run". Callers can resume a stream at another host.
 *
 * A response is in flight until its last byte was written to the caller's
 * connection, so that slow readers receive all of it.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type { Clock } from "../core/mod.ts";
import { onResponseClosed } from "../requests/caller.ts";
import { createMayHaveRunReply, sendReply } from "../requests/reply.ts";

/** Phase of a host's drain; "serving" before it starts. */
export type DrainPhase =
  | "serving"
  | "leaving"
  | "refusing"
  | "giving-up"
  | "ended";

/** Result of a drain. */
export interface DrainResult {
  readonly tookMs: number;
  /** Number of responses that were incomplete at the limit. */
  readonly cut: number;
}

/** Times of a drain in milliseconds. */
export interface DrainOptions {
  /** Time for which callers cache a `/where` response. */
  readonly whereTtlMs: number;
  /** Upper bound on the whole drain. */
  readonly drainLimitMs: number;
}

/** Dependencies of a drain, supplied by the process. */
export interface DrainHost {
  readonly clock: Clock;
  sleep(ms: number): Effect.Effect<void>;
  /** False if no caller can know this host from a `/where` response. */
  hasCallers(): boolean;
  /** Announces to the other hosts that this host leaves. */
  announceLeaving(): void;
  /** Returns public addresses of hosts that refused callers may use. */
  getOtherHosts(): readonly string[];
  onPhase(phase: DrainPhase): void;
}

/** Tracks responses in flight and drains the host. */
export interface Drain {
  getPhase(): DrainPhase;
  /** Returns the number of incomplete responses. */
  countInFlight(): number;
  /**
   * Runs an effect that may outlive its request, such as recording its end. A
   * drain waits up to 5 s for it, so that it also ends while the table service
   * is unavailable.
   */
  runDetached(effect: Effect.Effect<unknown>): void;
  /** Whether new requests are refused. */
  isRefusing(): boolean;
  /** Succeeds when waiting requests must end, shortly before the limit. */
  readonly waitUntilDrainTimeout: Effect.Effect<void>;
  /** Serves one request and tracks its response until it is closed. */
  track(res: ServerResponse, serve: Effect.Effect<void>): Effect.Effect<void>;
  /** Runs all phases of the drain. */
  readonly run: Effect.Effect<DrainResult>;
}

/** Response header with the addresses of other hosts, sent while draining. */
export const OTHER_HOSTS_HEADER = "azurestile-other-hosts";

/** Time until every host knows that this host leaves, with a margin. */
export const LEAVE_PROPAGATION_MS = 5_000;

/** Time before the limit for replies to the callers that still wait. */
const REPLY_MARGIN_MS = 2_000;

const CHECK_PERIOD_MS = 50;

/** Time for which a drain waits for an effect that outlives its request. */
const DETACHED_TIMEOUT_MS = 5_000;

/** Creates the drain of a host, in the phase "serving". */
export function createDrain(host: DrainHost, options: DrainOptions): Drain {
  const openResponses = new Set<ServerResponse>();
  const drainTimeout = Deferred.makeUnsafe<void>();
  const drainEnded = Deferred.makeUnsafe<void>();
  let phase: DrainPhase = "serving";
  let detachedCount = 0;

  function enterPhase(next: DrainPhase): void {
    phase = next;
    for (const res of openResponses) setDrainHeaders(res);
    host.onPhase(next);
  }

  function isRefusing(): boolean {
    return phase !== "serving" && phase !== "leaving";
  }

  /**
   * Closes keep-alive connections, so that callers go to another host, and
   * lists other hosts on refused requests.
   */
  function setDrainHeaders(res: ServerResponse): void {
    if (res.headersSent || phase === "serving") return;
    res.setHeader("connection", "close");
    if (!isRefusing()) return;
    res.setHeader(OTHER_HOSTS_HEADER, host.getOtherHosts().join(", "));
  }

  const waitUntilEnded = Deferred.await(drainEnded);

  function track(
    res: ServerResponse,
    serve: Effect.Effect<void>,
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      openResponses.add(res);
      onResponseClosed(res, () => openResponses.delete(res));
      setDrainHeaders(res);
      const cut = waitUntilEnded.pipe(
        Effect.tap(() =>
          Effect.sync(() =>
            sendReply(res, createMayHaveRunReply(503, "drainLimitPassed"), "")
          )
        ),
      );
      return Effect.raceFirst(serve, cut);
    });
  }

  function runDetached(effect: Effect.Effect<unknown>): void {
    detachedCount++;
    const fiber = Effect.runFork(effect);
    const waited = Fiber.await(fiber).pipe(
      Effect.timeoutOrElse({
        duration: DETACHED_TIMEOUT_MS,
        orElse: () => Effect.void,
      }),
      Effect.ensuring(Effect.sync(() => detachedCount--)),
    );
    Effect.runFork(waited);
  }

  /** Waits until nothing is in flight, or until the given time. */
  function waitUntilIdle(untilMs: number): Effect.Effect<void> {
    return Effect.gen(function* () {
      while (
        openResponses.size + detachedCount > 0 &&
        host.clock.monotonicMs() < untilMs
      ) {
        yield* host.sleep(CHECK_PERIOD_MS);
      }
    });
  }

  const run = Effect.gen(function* () {
    const startMs = host.clock.monotonicMs();
    const deadlineMs = startMs + options.drainLimitMs;
    host.announceLeaving();
    enterPhase("leaving");
    if (host.hasCallers()) {
      yield* host.sleep(getLeavingMs(options));
    }
    enterPhase("refusing");
    yield* waitUntilIdle(deadlineMs - REPLY_MARGIN_MS);
    enterPhase("giving-up");
    yield* Deferred.succeed(drainTimeout, undefined);
    yield* waitUntilIdle(deadlineMs);
    const cut = openResponses.size;
    enterPhase("ended");
    yield* Deferred.succeed(drainEnded, undefined);
    return { tookMs: host.clock.monotonicMs() - startMs, cut };
  });

  return {
    getPhase: () => phase,
    countInFlight: () => openResponses.size,
    runDetached,
    isRefusing,
    waitUntilDrainTimeout: Deferred.await(drainTimeout),
    track,
    run,
  };
}

/** At most half of the limit, so that streams keep the other half to finish. */
function getLeavingMs(options: DrainOptions): number {
  const neededMs = options.whereTtlMs + LEAVE_PROPAGATION_MS;
  return Math.min(neededMs, options.drainLimitMs / 2);
}
