/**
 * Follows the attempts of a request to its answer. While all of its upstreams
 * are silent another one is sought, and the first attempt that has something for
 * the caller ends the others.
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
  recordFailure,
  type RunningAttempt,
  tryGetFailure,
} from "./running_attempt.ts";
import { getPatienceMs } from "./silence_limits.ts";
import { AttemptFailed, type Silence } from "./types.ts";

/**
 * Time, in ms, for which the silent upstream of a stream may still go on after
 * the request was sent to another: longer than a rejection takes from another
 * region. After it the silent attempt ends, so that two upstreams don't work on
 * the stream for long.
 */
const STREAM_OVERLAP_MS = 200;

/** Share of the callers' patience after which any other upstream will do. */
const LAST_CHANCE_SHARE = 0.85;

const NO_RETRY_REASON = "The retry budget is exhausted";

/** Time between two searches during one silence, in ms. */
const SEARCH_INTERVAL_MS = 200;

/** Starts the attempts of a request. */
export interface AttemptStarter {
  /** Number of connection attempts so far. */
  countConnects(): number;
  /** Attempts that run, or whose end has not been handled; the oldest first. */
  readonly running: readonly RunningAttempt[];
  start(picked: PickedUpstream): RunningAttempt;
  /** Takes an attempt that has ended off `running`. */
  remove(ended: RunningAttempt): void;
}

/**
 * Waits until an attempt has answered the request, or until the last one has
 * failed. To be called with one attempt running.
 */
export function followAttempts(
  host: ForwardHost,
  call: Call,
  starter: AttemptStarter,
): Effect.Effect<void, AttemptFailed> {
  const { running } = starter;
  return Effect.gen(function* () {
    while (true) {
      yield* untilTrue(
        running,
        () => tryGetEnded(running) !== undefined || areSilent(running),
      );
      const ended = tryGetEnded(running);
      if (ended === undefined) {
        yield* seekAnother(host, call, starter);
        continue;
      }
      starter.remove(ended);
      const exit = ended.tryGetExit()!;
      if (running.length === 0 || Exit.isSuccess(exit)) return yield* exit;
      endOneOfSeveral(host, call, running, ended);
    }
  });
}

function tryGetEnded(
  running: readonly RunningAttempt[],
): RunningAttempt | undefined {
  return running.find((each) => each.tryGetExit() !== undefined);
}

function areSilent(running: readonly RunningAttempt[]): boolean {
  return running.every((each) => each.isSilent());
}

/** Records the end of an attempt beside which others go on. */
function endOneOfSeveral(
  host: ForwardHost,
  call: Call,
  running: readonly RunningAttempt[],
  { attempt, tryGetExit }: RunningAttempt,
): void {
  call.progress.attempt = running.at(-1)!.attempt;
  const failure = tryGetFailure(tryGetExit());
  const silence = attempt.silence.tryGetSilence();
  if (failure !== undefined) {
    logOneOfSeveral(host, call, attempt, failure, "keep-other");
  } else if (silence !== undefined) {
    const err = createSilentError(silence);
    recordFailure(host, call, attempt, err);
    const kind = call.res.headersSent ? "resume" : "another-upstream";
    logOneOfSeveral(host, call, attempt, err, kind);
  }
}

function logOneOfSeveral(
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
 * Seeks another upstream until one of the silent attempts goes on or ends, or
 * until another attempt has been started.
 */
function seekAnother(
  host: ForwardHost,
  call: Call,
  starter: AttemptStarter,
): Effect.Effect<void> {
  const { progress } = call;
  const { running } = starter;
  return Effect.gen(function* () {
    let logged: string | undefined;
    while (areSilent(running)) {
      progress.needsHealthy = needsHealthy(call, running);
      const found = yield* tryStartAnother(host, call, starter);
      if (found?.kind === "started") {
        return yield* endOverlap(call, running, found.other);
      }
      if (found !== undefined && found.because !== logged) {
        logged = found.because;
        logSilences(host, call, running, found);
      }
      yield* untilTrue(running, () => !areSilent(running), SEARCH_INTERVAL_MS);
    }
  }).pipe(Effect.ensuring(Effect.sync(() => progress.needsHealthy = false)));
}

/**
 * Whether the silent attempts are left for a healthy upstream only. Only one
 * attempt at a stream goes on, and a sound upstream that pauses may be the best
 * there is; but not once the caller is about to abandon the stream.
 */
function needsHealthy(
  { route }: Call,
  running: readonly RunningAttempt[],
): boolean {
  if (route.kind !== "stream") return false;
  const silentMs = Math.max(
    ...running.map((each) => each.attempt.trace.getSilentMs()),
  );
  return silentMs < getPatienceMs(route) * LAST_CHANCE_SHARE;
}

/** Another attempt that was started, or the reason why none was. */
type Found =
  | { readonly kind: "started"; readonly other: RunningAttempt }
  | Extract<SilenceStep, { readonly kind: "wait" }>;

/**
 * Sends the request to another upstream, unless a silent one goes on before
 * that (`undefined`), or the request may not be sent there.
 */
function tryStartAnother(
  host: ForwardHost,
  call: Call,
  starter: AttemptStarter,
): Effect.Effect<Found | undefined> {
  const { running } = starter;
  const connects = starter.countConnects();
  const choice = getChoice(host, call);
  const step = decideOnSilence(
    getRequestProgress(host, call, connects, choice),
  );
  if (step.kind === "wait") return Effect.succeed(step);
  if (!host.retryBudget.hasRetry("", call.service)) {
    return Effect.succeed(createWait(NO_RETRY_REASON));
  }
  const picked = pickUpstream(host, call).pipe(
    Effect.map((each) => startPicked(host, call, starter, each)),
    Effect.catchTag(
      "Rejected",
      ({ reason }) => Effect.succeed(createWait(reason)),
    ),
  );
  const changed = untilTrue(running, () => !areSilent(running))
    .pipe(Effect.as(undefined));
  return Effect.raceFirst(picked, changed);
}

function startPicked(
  host: ForwardHost,
  call: Call,
  starter: AttemptStarter,
  picked: PickedUpstream,
): Found | undefined {
  const isSilent = areSilent(starter.running);
  if (isSilent && host.retryBudget.tryTake("", call.service)) {
    logSilences(host, call, starter.running, { kind: "seek-another" });
    return { kind: "started", other: starter.start(picked) };
  }
  picked.endPrefill();
  return isSilent ? createWait(NO_RETRY_REASON) : undefined;
}

function createWait(because: string): Found {
  return { kind: "wait", because };
}

function logSilences(
  host: ForwardHost,
  call: Call,
  running: readonly RunningAttempt[],
  step: SilenceStep,
): void {
  for (const { attempt } of running) logSilence(host, call, attempt, step);
}

/**
 * Ends the silent attempts at a stream some time after the request was sent to
 * another upstream, unless one of the attempts has ended or gone on by then.
 */
function endOverlap(
  { route }: Call,
  running: readonly RunningAttempt[],
  other: RunningAttempt,
): Effect.Effect<void> {
  if (route.kind !== "stream") return Effect.void;
  const silent = running.filter((each) => each !== other);
  const isDecided = () => tryGetEnded(running) !== undefined;
  return Effect.gen(function* () {
    yield* untilTrue(running, () => isDecided() || other.attempt.isSent);
    if (isDecided()) return;
    yield* untilTrue(running, isDecided, STREAM_OVERLAP_MS);
    if (isDecided()) return;
    for (const each of silent) each.abort();
  });
}

/**
 * Waits until the condition holds, which may change with the attempts, or until
 * the time-out, in ms.
 */
function untilTrue(
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
