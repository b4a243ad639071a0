/**
 * Seeks another upstream for a request whose upstream is silent, and gives the
 * silent attempt up only for one that takes over.
 *
 * Load: sound upstreams pause for a second or two, or are lost without a reset,
 * while the others are full, leaving or silent as well.
 *
 * Failures prevented: an attempt that would have gone on is aborted, and then
 * nobody takes the request; or two upstreams work on one stream for long.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import { startTimeout } from "../core/mod.ts";
import {
  type ChosenStep,
  getChoice,
  logFailure,
  type LoggedStep,
  logSilence,
} from "./attempt_log.ts";
import type { Attempt, Call, ForwardHost } from "./call.ts";
import { decideOnSilence, type SilenceStep } from "./next_step.ts";
import { type PickedUpstream, pickUpstream } from "./pick_upstream.ts";
import { getRequestProgress } from "./request_progress.ts";
import {
  type AttemptRivals,
  recordFailure,
  type RunningAttempt,
  tryGetFailure,
} from "./running_attempt.ts";
import { AttemptFailed, type Silence } from "./types.ts";

/**
 * Time, in ms, for which the silent upstream of a stream may still speak after
 * the request was sent to another: longer than a rejection takes from another
 * region. After it the silent attempt ends, so that two upstreams don't work on
 * the stream for long.
 */
const STREAM_OVERLAP_MS = 200;

/** Time between two searches during one silence, in ms. */
const SEARCH_INTERVAL_MS = 200;

/** What the search needs of the request's attempts. */
export interface AttemptStarter {
  /** Number of connection attempts so far. */
  countConnects(): number;
  start(
    picked: PickedUpstream,
    onResponded: AttemptRivals["onResponded"],
  ): RunningAttempt;
}

/**
 * Waits until the attempt has ended or its upstream has spoken, and meanwhile
 * seeks another upstream. Returns the attempt that goes on: the silent one, or
 * the one that took over.
 */
export function seekTakeOver(
  host: ForwardHost,
  call: Call,
  silent: RunningAttempt,
  starter: AttemptStarter,
): Effect.Effect<RunningAttempt> {
  const { progress, route } = call;
  return Effect.gen(function* () {
    // Only one attempt at a stream goes on, so that a sound upstream is left
    // for a healthy one only.
    progress.needsHealthy = route.kind === "stream";
    let logged: string | undefined;
    while (true) {
      const silence = silent.attempt.silence.tryGetSilence();
      if (silence === undefined || !silent.isSilent()) return silent;
      const found = yield* tryStartOther(host, call, silent, starter);
      if (found?.kind === "wait" && found.because !== logged) {
        logged = found.because;
        logSilence(host, call, silent.attempt, { silence, step: found });
      }
      const heir = found?.kind === "started"
        ? yield* awaitHeir(host, call, { silent, silence, other: found.other })
        : undefined;
      if (heir !== undefined) return heir;
      yield* untilTrue([silent], () => !silent.isSilent(), SEARCH_INTERVAL_MS);
    }
  }).pipe(Effect.ensuring(Effect.sync(() => progress.needsHealthy = false)));
}

/** Another attempt that was started, or the reason why none was. */
type Found =
  | { readonly kind: "started"; readonly other: RunningAttempt }
  | Extract<SilenceStep, { readonly kind: "wait" }>;

/**
 * Sends the request to another upstream, unless the silent one speaks before
 * that (`undefined`), or the request may not be sent there.
 */
function tryStartOther(
  host: ForwardHost,
  call: Call,
  silent: RunningAttempt,
  starter: AttemptStarter,
): Effect.Effect<Found | undefined> {
  const connects = starter.countConnects();
  const step = decideOnSilence(getRequestProgress(host, call, connects));
  if (step.kind === "wait") return Effect.succeed(step);
  const picked = pickUpstream(host, call).pipe(
    Effect.map((each) => startOther(host, call, silent, starter, each)),
    Effect.catchTag(
      "Rejected",
      ({ reason }) => Effect.succeed(createWait(reason)),
    ),
  );
  const spoken = untilTrue([silent], () => !silent.isSilent())
    .pipe(Effect.as(undefined));
  return Effect.raceFirst(picked, spoken);
}

function startOther(
  host: ForwardHost,
  call: Call,
  silent: RunningAttempt,
  starter: AttemptStarter,
  picked: PickedUpstream,
): Found | undefined {
  const silence = silent.attempt.silence.tryGetSilence();
  const mayStart = silence !== undefined &&
    host.retryBudget.tryTake("", call.service);
  if (!mayStart) {
    picked.endPrefill();
    return silence && createWait("The retry budget is exhausted");
  }
  const step = { kind: "seek-another" } as const;
  logSilence(host, call, silent.attempt, { silence, step });
  const other = starter.start(picked, () => silent.abort());
  return { kind: "started", other };
}

function createWait(because: string): Found {
  return { kind: "wait", because };
}

/** The silent attempt, and the one that may take over from it. */
interface Rivals {
  readonly silent: RunningAttempt;
  readonly silence: Silence;
  readonly other: RunningAttempt;
}

/**
 * Waits until it is known which of two attempts goes on; `undefined` if the
 * silent one does. The first that has something for the caller ends the other.
 */
function awaitHeir(
  host: ForwardHost,
  call: Call,
  rivals: Rivals,
): Effect.Effect<RunningAttempt | undefined> {
  const { silent, other } = rivals;
  return Effect.gen(function* () {
    using _watch = silent.onChange(() => {
      if (hasGoneOn(silent)) other.abort();
    });
    const isDecided = () =>
      !silent.isSilent() || other.hasResponded() ||
      other.tryGetExit() !== undefined;
    yield* untilTrue(
      [silent, other],
      () => isDecided() || other.attempt.isSent,
    );
    if (!isDecided()) {
      yield* untilTrue([silent, other], isDecided, getOverlapMs(call));
    }
    return settle(host, call, rivals);
  });
}

/** Whether the attempt has spoken, or has been answered. */
function hasGoneOn(attempt: RunningAttempt): boolean {
  const exit = attempt.tryGetExit();
  return exit === undefined ? !attempt.isSilent() : Exit.isSuccess(exit);
}

/** Time after which the silent attempt ends; `undefined` if both may go on. */
function getOverlapMs({ route }: Call): number | undefined {
  return route.kind === "idempotent" ? undefined : STREAM_OVERLAP_MS;
}

/** Decides which attempt goes on, and ends the other one. */
function settle(
  host: ForwardHost,
  call: Call,
  rivals: Rivals,
): RunningAttempt | undefined {
  const { silent, other } = rivals;
  const otherExit = other.tryGetExit();
  const hasFailed = otherExit !== undefined && !other.hasResponded();
  if (!hasGoneOn(silent) && !hasFailed) {
    giveUp(host, call, rivals);
    return other;
  }
  other.abort();
  call.progress.attempt = silent.attempt;
  const err = tryGetFailure(otherExit);
  if (err !== undefined) {
    logTakenStep(host, call, other.attempt, err, "keep-earlier");
  }
  return undefined;
}

/** Ends the silent attempt, unless it has failed by itself. */
function giveUp(
  host: ForwardHost,
  call: Call,
  { silent, silence }: Rivals,
): void {
  const { attempt } = silent;
  const ownFailure = tryGetFailure(silent.tryGetExit());
  const err = ownFailure ?? createSilentError(silence);
  silent.abort();
  if (ownFailure === undefined) recordFailure(host, call, attempt, err);
  const kind = call.res.headersSent ? "resume" : "another-upstream";
  logTakenStep(host, call, attempt, err, kind);
}

/** Logs a failure after which the request goes on at an attempt that runs. */
function logTakenStep(
  host: ForwardHost,
  call: Call,
  attempt: Attempt,
  err: AttemptFailed,
  kind: LoggedStep["kind"],
): void {
  const chosen: ChosenStep = {
    ...getChoice(host, call),
    step: { kind },
    retry: "taken",
  };
  logFailure(host, call, attempt, { err, chosen });
}

function createSilentError(silence: Silence): AttemptFailed {
  const reason = `Nothing arrived within ${Math.round(silence.limitMs)} ms`;
  return new AttemptFailed({ kind: "silent", reason, silence });
}

/**
 * Waits until the condition holds, which may change with the attempts, or until
 * the time-out, in ms.
 */
export function untilTrue(
  attempts: readonly RunningAttempt[],
  condition: () => boolean,
  timeoutMs?: number,
): Effect.Effect<void> {
  return Effect.callback<void>((resume) => {
    const watches = attempts.map((each) => each.onChange(check));
    const timeout = timeoutMs === undefined
      ? undefined
      : startTimeout(timeoutMs, end);

    function stop(): void {
      for (const each of watches) each[Symbol.dispose]();
      timeout?.[Symbol.dispose]();
    }
    function end(): void {
      stop();
      resume(Effect.void);
    }
    function check(): void {
      if (condition()) end();
    }

    check();
    return Effect.sync(stop);
  });
}
