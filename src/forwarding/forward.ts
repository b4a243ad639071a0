/**
 * Forwards one request: picks an upstream, sends the request, relays the
 * response and, after a failure or during a silence, decides whether to try
 * another upstream.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { CallerLost } from "../requests/caller.ts";
import type { RetryUse } from "../diagnostics/mod.ts";
import { getChoice, logAttempt, logFailure } from "./attempt_log.ts";
import { checkNotBlocked, createBlockedRejection } from "./blocked_content.ts";
import type { Call, ForwardHost } from "./call.ts";
import { createUnavailable, getEligible } from "./eligible_upstreams.ts";
import { decideNextStep } from "./next_step.ts";
import { pickUpstream } from "./pick_upstream.ts";
import { createNotRunRejection, Rejected } from "./rejections.ts";
import { getRequestProgress } from "./request_progress.ts";
import { FAILED_RETRY_MS } from "./retry_after.ts";
import { type RunningAttempt, startAttempt } from "./running_attempt.ts";
import { type AttemptStarter, followAttempts } from "./take_over.ts";
import type { AttemptFailed } from "./types.ts";

/**
 * Forwards the request until it has been answered or no further attempt is
 * allowed.
 */
export function forward(
  host: ForwardHost,
  call: Call,
): Effect.Effect<void, Rejected | CallerLost> {
  const attempts = createAttempts(host, call);

  const tryUpstream: Effect.Effect<void, Rejected | CallerLost> = Effect
    .suspend(
      () =>
        pickUpstream(host, call).pipe(
          Effect.mapError((err) => correctRejection(call, err)),
          Effect.tap(() => checkNotBlocked(host, call)),
          Effect.flatMap((picked) => {
            attempts.start(picked);
            return followAttempts(host, call, attempts);
          }),
          Effect.catchTag("AttemptFailed", (err) => handleFailure(err)),
        ),
    );

  function handleFailure(
    err: AttemptFailed,
  ): Effect.Effect<void, Rejected | CallerLost> {
    const choice = getChoice(host, call);
    let retry: RetryUse = "not-asked";
    const step = decideNextStep({
      ...getRequestProgress(host, call, attempts.countConnects(), choice),
      failure: err.kind,
      tryTakeRetry() {
        const isTaken = host.retryBudget.tryTake("", call.service);
        retry = isTaken ? "taken" : "refused";
        return isTaken;
      },
    });
    logFailure(host, call, call.progress.attempt!, {
      err,
      chosen: { ...choice, step, retry },
    });
    if (step.kind !== "give-up") return tryUpstream;
    return Effect.fail(createFinalRejection(host, call, err));
  }

  return tryUpstream.pipe(Effect.ensuring(attempts.release));
}

/** All attempts of one request. */
interface Attempts extends AttemptStarter {
  /** Aborts those that run, and releases all that the attempts hold. */
  readonly release: Effect.Effect<void>;
}

function createAttempts(host: ForwardHost, call: Call): Attempts {
  const { progress } = call;
  const running: RunningAttempt[] = [];
  let connects = 0;

  /** Ends all other attempts; no further one is sought for this one's silence. */
  function prefer(kept: RunningAttempt): void {
    kept.attempt.silence.restart();
    for (const each of [...running]) {
      if (each !== kept) each.abort();
    }
  }

  function countRunning(): number {
    return running.filter((each) => each.tryGetExit() === undefined).length;
  }

  return {
    countConnects: () => connects,
    running,
    start(picked) {
      connects++;
      progress.triedUpstreams.add(picked.upstream.id);
      logAttempt(host, call, picked);
      const started = startAttempt(host, call, picked, {
        isAlone: () => countRunning() <= 1,
        onDelivering: () => prefer(started),
      });
      running.push(started);
      return started;
    },
    remove(ended) {
      running.splice(running.indexOf(ended), 1);
    },
    release: Effect.suspend(() => {
      for (const endPrefill of progress.prefillEnds) endPrefill();
      return Effect.forEach(running, (each) => each.release, {
        discard: true,
      });
    }),
  };
}

/**
 * Replaces a rejection that promises "not run" by a 502 if an earlier attempt
 * may have run the request.
 */
function correctRejection(call: Call, rejected: Rejected): Rejected {
  if (call.progress.possibleRuns === 0) return rejected;
  return new Rejected({ status: 502, reason: rejected.reason });
}

/** Creates the rejection for a request that is not attempted again. */
function createFinalRejection(
  host: ForwardHost,
  call: Call,
  err: AttemptFailed,
): Rejected {
  const culprit = host.crashes.tryGetCulprit(call);
  if (culprit !== undefined) return createBlockedRejection(culprit);
  if (call.progress.possibleRuns === 0) {
    const hasCandidate = getEligible(host, call).length > 0;
    if (!hasCandidate) return createUnavailable(host, call);
    return createNotRunRejection(err.reason, FAILED_RETRY_MS);
  }
  const status = err.kind === "silent" ? 504 : 502;
  return new Rejected({ status, reason: err.reason });
}
