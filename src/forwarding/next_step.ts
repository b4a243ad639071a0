/**
 * Decides what follows an attempt that gave no answer to pass on.
 *
 * Load: upstreams crash, shed or lose answers while all hosts send at once.
 * Harm prevented: a request that may not be repeated runs twice; retries
 * multiply the load on what is left; a caller is told "not run" of something
 * that ran.
 *
 * @module
 */

import type { RouteKind } from "../routing/mod.ts";
import type { AttemptFailed } from "./types.ts";

/** What the step is decided from. */
export interface StepInput {
  readonly failure: AttemptFailed["kind"];
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly maxAttempts: number;
  /** Upstreams that were sent the request. */
  readonly attempts: number;
  /** Upstreams that may have run it. */
  readonly possibleRuns: number;
  /** Connections tried, also those that did not come about. */
  readonly connectAttempts: number;
  /** The caller has got events of the stream. */
  readonly hasSentEvents: boolean;
  /** Those events had ids, so that the stream can go on behind them. */
  readonly hasEventId: boolean;
  readonly remainingMs: number;
  /** There is an upstream that has not been asked and may be asked now. */
  readonly hasCandidate: boolean;
  /** Takes a retry from the budget that all hosts share. */
  tryTakeRetry(): boolean;
}

/** The decision. */
export type NextStep =
  | { readonly kind: "another-upstream" | "resume" }
  | { readonly kind: "give-up"; readonly because: string };

/** Connections tried for one request; each may take half a second. */
const MAX_CONNECT_ATTEMPTS = 4;

/** Sends of one request that upstreams may refuse; more would be a storm. */
const MAX_ATTEMPTS = 3;

/** With less left, in ms, no upstream would end in time. */
const MIN_REMAINING_MS = 30;

/** Decides; takes from the retry budget only where all else allows it. */
export function decideNextStep(input: StepInput): NextStep {
  const because = tryGetGiveUpReason(input);
  if (because !== undefined) return { kind: "give-up", because };
  // No upstream has seen a request that was not sent: nothing is repeated.
  const isRetry = input.attempts > 0;
  if (isRetry && !input.tryTakeRetry()) {
    return { kind: "give-up", because: "The retry budget is used up" };
  }
  return { kind: input.hasSentEvents ? "resume" : "another-upstream" };
}

function tryGetGiveUpReason(input: StepInput): string | undefined {
  if (input.remainingMs < MIN_REMAINING_MS) return "No time is left";
  if (input.connectAttempts >= MAX_CONNECT_ATTEMPTS) {
    return "Too many connections failed";
  }
  if (input.attempts >= MAX_ATTEMPTS) return "Too many upstreams refused it";
  if (!input.hasCandidate) return "No other upstream takes requests";
  if (input.possibleRuns === 0) return undefined;
  if (!mayRepeat(input)) return "It may have run and may not be repeated";
  if (input.possibleRuns >= input.maxAttempts) {
    return "The route allows no more runs";
  }
  if (input.hasSentEvents && !input.hasEventId) {
    return "The stream has no event ids to go on from";
  }
  return undefined;
}

function mayRepeat(input: StepInput): boolean {
  switch (input.kind) {
    case "idempotent":
      return true;
    case "at-most-once":
      return false;
    case "stream":
      return input.isResumable;
  }
}
