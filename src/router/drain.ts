/**
 * The end of a router: from the first signal to the last byte of the last
 * answer.
 *
 * 1. `leaving`: the host tells the others, and no `/where` names it any more.
 *    It still serves, since callers keep an earlier answer for its time to live.
 * 2. `refusing`: new requests end at once as "not run", with other hosts named.
 *    Waiting ones keep their place and are served: handing them on would put
 *    them last in another host's queue, and they hold nothing but memory.
 * 3. `giving-up`, shortly before the limit: those that still wait end as "not
 *    run" while there is time to tell them.
 * 4. `ended`, at the limit or when nothing is in flight: what still runs is told
 *    "may have run". A stream's caller can resume it at another host.
 *
 * An answer counts as in flight until its last byte went to the caller's
 * connection, so that a slow reader gets all of it.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type { Clock } from "../core/mod.ts";
import { createMayHaveRunReply, sendReply } from "../requests/reply.ts";

/** Where a host is on its way out. */
export type DrainPhase =
  | "serving"
  | "leaving"
  | "refusing"
  | "giving-up"
  | "ended";

/** What a drain came to. */
export interface DrainResult {
  readonly tookMs: number;
  /** Answers that were not whole at the limit. */
  readonly cut: number;
}

/** Times of a drain in milliseconds. */
export interface DrainOptions {
  /** How long callers keep an answer of `/where`. */
  readonly whereTtlMs: number;
  readonly drainLimitMs: number;
}

/** What a drain needs of the process. */
export interface DrainHost {
  readonly clock: Clock;
  sleep(ms: number): Effect.Effect<void>;
  /** False: no caller can have been told of this host. */
  hasCallers(): boolean;
  /** Tells the other hosts that this one leaves. */
  leave(): void;
  /** Public addresses that a refused caller may go to. */
  getOtherHosts(): readonly string[];
  onPhase(phase: DrainPhase): void;
}

/** Tracks what is in flight and brings it to its end. */
export interface Drain {
  getPhase(): DrainPhase;
  /** Answers that are not whole yet. */
  countInFlight(): number;
  /**
   * Runs an effect that outlives its request, such as the record of its end. A
   * drain waits for it a while, but not for a store that stays down.
   */
  runDetached(effect: Effect.Effect<unknown>): void;
  /** New requests are refused. */
  isRefusing(): boolean;
  /** Succeeds when waiting requests have to end. */
  readonly waitUntilGivingUp: Effect.Effect<void>;
  /** Serves one request as part of what is in flight. */
  track(res: ServerResponse, serve: Effect.Effect<void>): Effect.Effect<void>;
  readonly run: Effect.Effect<DrainResult>;
}

/** Names other hosts on an answer of a host that is leaving. */
export const OTHER_HOSTS_HEADER = "azurestile-other-hosts";

/** Until the last host has heard that this one leaves, with a margin. */
export const LEAVE_SPREAD_MS = 5_000;

/** Time to tell the waiting callers before the limit. */
const GIVE_UP_MARGIN_MS = 2_000;

const CHECK_MS = 50;

/** A drain waits so long for an effect that outlives its request. */
const DETACHED_WAIT_MS = 5_000;

/** Makes the drain of a host that serves. */
export function createDrain(host: DrainHost, options: DrainOptions): Drain {
  const open = new Set<ServerResponse>();
  const givingUp = Deferred.makeUnsafe<void>();
  const ended = Deferred.makeUnsafe<void>();
  let phase: DrainPhase = "serving";
  let detached = 0;

  function enter(next: DrainPhase): void {
    phase = next;
    for (const res of open) prepare(res);
    host.onPhase(next);
  }

  function isRefusing(): boolean {
    return phase !== "serving" && phase !== "leaving";
  }

  /** A caller that keeps its connection has to look for another host. */
  function prepare(res: ServerResponse): void {
    if (res.headersSent || phase === "serving") return;
    res.setHeader("connection", "close");
    if (!isRefusing()) return;
    res.setHeader(OTHER_HOSTS_HEADER, host.getOtherHosts().join(", "));
  }

  const waitUntilEnded = Deferred.await(ended);

  function track(
    res: ServerResponse,
    serve: Effect.Effect<void>,
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      open.add(res);
      res.once("close", () => open.delete(res));
      prepare(res);
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
    detached++;
    const fiber = Effect.runFork(effect);
    const waited = Fiber.await(fiber).pipe(
      Effect.timeoutOrElse({
        duration: DETACHED_WAIT_MS,
        orElse: () => Effect.void,
      }),
      Effect.ensuring(Effect.sync(() => detached--)),
    );
    Effect.runFork(waited);
  }

  /** Waits until the time given, or less when nothing is in flight. */
  function waitForEnds(untilMs: number): Effect.Effect<void> {
    return Effect.gen(function* () {
      while (open.size + detached > 0 && host.clock.monotonicMs() < untilMs) {
        yield* host.sleep(CHECK_MS);
      }
    });
  }

  const run = Effect.gen(function* () {
    const startMs = host.clock.monotonicMs();
    const limitMs = startMs + options.drainLimitMs;
    host.leave();
    enter("leaving");
    if (host.hasCallers()) {
      yield* host.sleep(getLeavingMs(options));
    }
    enter("refusing");
    yield* waitForEnds(limitMs - GIVE_UP_MARGIN_MS);
    enter("giving-up");
    yield* Deferred.succeed(givingUp, undefined);
    yield* waitForEnds(limitMs);
    const cut = open.size;
    enter("ended");
    yield* Deferred.succeed(ended, undefined);
    return { tookMs: host.clock.monotonicMs() - startMs, cut };
  });

  return {
    getPhase: () => phase,
    countInFlight: () => open.size,
    runDetached,
    isRefusing,
    waitUntilGivingUp: Deferred.await(givingUp),
    track,
    run,
  };
}

/** Half of the limit at most, so that streams keep the other half. */
function getLeavingMs(options: DrainOptions): number {
  const neededMs = options.whereTtlMs + LEAVE_SPREAD_MS;
  return Math.min(neededMs, options.drainLimitMs / 2);
}
