/**
 * Decides what follows a failed attempt, and what is done about one whose
 * upstream is silent.
 *
 * Load: upstreams crash, shed load, lose responses or pause while all hosts send
 * to them at once.
 *
 * Failures prevented: a request that must not be repeated runs twice; retries
 * multiply the load on the remaining upstreams; a caller is told "not run"
 * about a request that ran; an attempt that would have gone on is given up for
 * one that never starts.
 *
 * @module
 */

import type { RouteKind } from "../routing/mod.ts";
import type { AttemptFailed } from "./types.ts";

/** The state of a request, as far as the decisions need it. */
export interface RequestProgress {
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly maxAttempts: number;
  /** Number of upstreams to which the request was sent. */
  readonly attempts: number;
  /** Number of upstreams that may have run the request. */
  readonly possibleRuns: number;
  /** Number of connection attempts, including those that failed. */
  readonly connects: number;
  /** Whether events of the stream have been sent to the caller. */
  readonly hasSentEvents: boolean;
  /**
   * Whether those events had ids, so that the stream can be resumed after the
   * last one.
   */
  readonly hasEventId: boolean;
  readonly remainingMs: number;
  /** Whether the content is blocked because it crashes upstreams. */
  readonly isBlocked: boolean;
  /** Whether upstreams have crashed under a part of the prompt, not once only. */
  readonly isSuspect: boolean;
  /** Whether some upstream has not been tried yet and accepts requests now. */
  readonly hasCandidate: boolean;
}

/** Inputs of the decision on a failed attempt. */
export interface StepInput extends RequestProgress {
  readonly failure: AttemptFailed["kind"];
  /**
   * Takes one retry from this host's part of the fleet's retry budget; returns
   * false if it is exhausted.
   */
  tryTakeRetry(): boolean;
}

/** The decision, with the reason if no further attempt is made. */
export type NextStep =
  | { readonly kind: "another-upstream" | "resume" }
  | { readonly kind: "give-up"; readonly because: string };

/** The decision on a silent upstream, with the reason if nothing is done. */
export type SilenceStep =
  | { readonly kind: "seek-another" }
  | { readonly kind: "wait"; readonly because: string };

/**
 * Limit on connection attempts for one request that has little time left.
 */
const MAX_CONNECTS = 4;

/**
 * With more remaining time than this, in ms, further upstreams are connected
 * to: it suffices for one more attempt that is not answered, and for an answer.
 */
const MANY_CONNECTS_REMAINING_MS = 1_500;

/**
 * Limit on how often one request is sent. Without it, upstreams that reject
 * everything would cause a retry storm.
 */
const MAX_ATTEMPTS = 3;

/** With less remaining time than this, in ms, no upstream could finish. */
const MIN_REMAINING_MS = 30;

/**
 * Decides the next step. Takes from the retry budget only if all other
 * conditions allow a retry.
 */
export function decideNextStep(input: StepInput): NextStep {
  const because = tryGetSuspicion(input) ?? tryGetGiveUpReason(input);
  if (because !== undefined) return { kind: "give-up", because };
  // A request that was never sent has reached no upstream, so that sending it
  // is not a retry.
  const isRetry = input.attempts > 0;
  if (isRetry && !input.tryTakeRetry()) {
    return { kind: "give-up", because: "The retry budget is exhausted" };
  }
  return { kind: input.hasSentEvents ? "resume" : "another-upstream" };
}

/**
 * Decides whether another upstream is sought while one is silent. The attempt at
 * the silent one goes on in either case, until another has taken over: a sound
 * upstream that pauses goes on by itself.
 */
export function decideOnSilence(progress: RequestProgress): SilenceStep {
  const because = tryGetGiveUpReason(progress);
  return because === undefined
    ? { kind: "seek-another" }
    : { kind: "wait", because };
}

/**
 * A prompt that broke off as upstreams crash under one of its parts would often
 * crash the next upstream, and with it all other prompts that run there.
 */
function tryGetSuspicion(
  { failure, isSuspect }: StepInput,
): string | undefined {
  return failure === "cut-off" && isSuspect
    ? "Upstreams crash under what this prompt shares with others"
    : undefined;
}

function tryGetGiveUpReason(input: RequestProgress): string | undefined {
  if (input.isBlocked) return "Upstreams crashed under this content";
  if (input.remainingMs < MIN_REMAINING_MS) return "Too little time remains";
  if (!mayConnect(input)) return "Too many connections failed";
  if (input.attempts >= MAX_ATTEMPTS) return "The limit on attempts is reached";
  if (!input.hasCandidate) return "No other upstream accepts requests";
  if (input.possibleRuns === 0) return undefined;
  if (!mayRepeat(input)) return "Request may have run and is not repeated";
  if (input.possibleRuns >= input.maxAttempts) return "Run limit is reached";
  if (input.hasSentEvents && !input.hasEventId) {
    return "The stream has no event ids from which to resume";
  }
  return undefined;
}

function mayConnect({ connects, remainingMs }: RequestProgress): boolean {
  return connects < MAX_CONNECTS || remainingMs >= MANY_CONNECTS_REMAINING_MS;
}

function mayRepeat(input: RequestProgress): boolean {
  switch (input.kind) {
    case "idempotent":
      return true;
    case "at-most-once":
      return false;
    case "stream":
      return input.isResumable;
  }
}
