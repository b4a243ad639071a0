/**
 * Runs one attempt of a request at one upstream: sends it, relays the response
 * and records the result in the upstream's health, back-off and crash state.
 *
 * An attempt can be aborted while it runs, without waiting: once `abort` has
 * returned it relays nothing more to the caller.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Fiber from "effect/Fiber";
import * as Option from "effect/Option";
import { sendAttempt } from "./attempt.ts";
import { createAttemptTrace } from "./attempt_trace.ts";
import type { Attempt, Call, ForwardHost } from "./call.ts";
import type { PickedUpstream } from "./pick_upstream.ts";
import { relayBuffered } from "./relay_buffered.ts";
import { relayStream } from "./relay_stream.ts";
import { recordProven } from "./proven_parts.ts";
import { createSilenceWatch } from "./silence_watch.ts";
import { REFUSED_CODE } from "./try_connect.ts";
import type { AttemptFailed } from "./types.ts";
import type { UpstreamResponse } from "./upstream_call.ts";

/** How an attempt ended. */
export type AttemptExit = Exit.Exit<void, AttemptFailed>;

/** The failure of an attempt that has ended; `undefined` without one. */
export function tryGetFailure(
  exit: AttemptExit | undefined,
): AttemptFailed | undefined {
  if (exit === undefined) return undefined;
  return Option.getOrUndefined(Exit.findErrorOption(exit));
}

/** An attempt that has been started. */
export interface RunningAttempt {
  readonly attempt: Attempt;
  /** How it ended; `undefined` while it runs. */
  tryGetExit(): AttemptExit | undefined;
  /** Whether it runs and its upstream is silent. */
  isSilent(): boolean;
  /** Ends it, and closes the connection to its upstream. */
  abort(): void;
  /** Calls `run` after each change of the above, until disposed of. */
  onChange(run: () => void): Disposable;
  /** Aborts it, and waits until all that it holds is released. */
  readonly release: Effect.Effect<void>;
}

/** What an attempt must know of the others of its request. */
export interface AttemptRivals {
  /** Whether no other attempt of the request runs. */
  isAlone(): boolean;
  /** Called right before the attempt gives the caller a part of its response. */
  onDelivering(): void;
}

/** Starts an attempt at the upstream. */
export function startAttempt(
  host: ForwardHost,
  call: Call,
  picked: PickedUpstream,
  rivals: AttemptRivals,
): RunningAttempt {
  const listeners = new Set<() => void>();

  function notify(): void {
    for (const run of [...listeners]) run();
  }

  const attempt = createAttempt(host, call, picked, notify);
  call.progress.attempt = attempt;
  const fiber = Effect.runFork(runAttempt(host, call, attempt, rivals));
  fiber.addObserver(notify);

  return {
    attempt,
    tryGetExit: () => fiber.pollUnsafe(),
    isSilent: () =>
      fiber.pollUnsafe() === undefined &&
      attempt.silence.tryGetSilence() !== undefined,
    abort: () => fiber.interruptUnsafe(),
    onChange(run) {
      listeners.add(run);
      return { [Symbol.dispose]: () => void listeners.delete(run) };
    },
    release: Fiber.interrupt(fiber),
  };
}

function createAttempt(
  host: ForwardHost,
  { progress }: Call,
  { upstream, queuedTokens, fetch, endPrefill }: PickedUpstream,
  onChange: () => void,
): Attempt {
  return {
    upstream,
    startedMs: host.clock.monotonicMs(),
    isUpstreamCold: host.warmUps.isCold(upstream),
    queuedTokens,
    fetch,
    silence: createSilenceWatch(onChange),
    trace: createAttemptTrace(host.clock),
    endPrefill,
    isSent: false,
    firstEventsMs: undefined,
    isProven: false,
    number: progress.attempts,
    bodyTrace: undefined,
    onSent() {
      this.isSent = true;
      this.number = progress.attempts;
      onChange();
    },
  };
}

function runAttempt(
  host: ForwardHost,
  call: Call,
  attempt: Attempt,
  rivals: AttemptRivals,
): Effect.Effect<void, AttemptFailed> {
  const { upstream } = attempt;
  const { health } = host;
  health.beginRequest(upstream.id);
  host.load.beginRequest(upstream.id);
  return sendAttempt(host, call, attempt).pipe(
    Effect.tap(() =>
      Effect.sync(() => {
        health.recordActivity(upstream.id);
        host.backoffs.recordSuccess(upstream);
      })
    ),
    Effect.flatMap((response) => relay(host, call, attempt, response, rivals)),
    Effect.tap(() =>
      Effect.sync(() => {
        health.recordSuccess(upstream.id);
        if (isSuccess(call.progress.status)) {
          host.crashes.recordSuccess(call.fingerprint);
          recordProven(host, call, attempt);
        }
      })
    ),
    Effect.tapError((err) =>
      Effect.sync(() => recordFailure(host, call, attempt, err))
    ),
    Effect.ensuring(Effect.sync(() => {
      attempt.silence[Symbol.dispose]();
      attempt.endPrefill();
      health.endRequest(upstream.id);
      host.load.endRequest(upstream.id);
    })),
  );
}

/** Records what a failed attempt shows of its upstream. */
export function recordFailure(
  host: ForwardHost,
  call: Call,
  attempt: Attempt,
  err: AttemptFailed,
): void {
  const { upstream } = attempt;
  if (err.kind === "unwanted" || err.kind === "unsendable") return;
  if (err.kind === "not-sent") {
    host.health.recordFailure(upstream.id, "unreachable");
    const isRefused = err.reason === REFUSED_CODE;
    host.crashes.recordUnreachable(upstream, isRefused);
    return;
  }
  host.health.recordFailure(upstream.id, "failed");
  if (err.kind === "cut-off") {
    host.crashes.recordCutOff(upstream, call.fingerprint);
  }
  if (err.kind === "cut-off" || err.contact === "refused") {
    recordSuspectParts(host, call, attempt);
  }
}

/**
 * An upstream ends under a part as it begins to answer. What it had been writing
 * for a while is not the cause.
 */
function recordSuspectParts(
  host: ForwardHost,
  { parts }: Call,
  { upstream, isProven }: Attempt,
): void {
  if (isProven) return;
  for (const part of parts) host.crashes.recordCutOff(upstream, part);
}

function relay(
  host: ForwardHost,
  call: Call,
  attempt: Attempt,
  response: UpstreamResponse,
  rivals: AttemptRivals,
): Effect.Effect<void, AttemptFailed> {
  const status = response.res.statusCode ?? 0;
  if (call.route.kind === "stream" && isSuccess(status)) {
    const { onDelivering } = rivals;
    return relayStream(host, call, attempt, { response, onDelivering });
  }
  return relayBuffered(host, call, attempt, { response, ...rivals });
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
