/**
 * Admits a request or refuses it at once. A refusal is the final answer: the
 * request did not run, and the caller learns when to come back.
 *
 * Load: a flood of one team, and saturation of a service for minutes. Harm
 * prevented: requests that can't be served in time take memory and, once they
 * start, slots from those that can; and a flood that fills the host's memory
 * shuts out the other teams.
 *
 * @module
 */

import { clamp } from "../core/mod.ts";

/** What waits, in requests and in bytes of their bodies. */
export interface QueueUse {
  readonly requests: number;
  readonly bytes: number;
}

/** What admission decides from. */
export interface AdmissionInput {
  readonly isDraining: boolean;
  /** Requests of the team that wait here for the service. */
  readonly teamQueued: number;
  readonly maxQueued: number;
  /** All that waits here of the team, for any service. */
  readonly teamUse: QueueUse;
  /** All that waits here, of every team. */
  readonly hostUse: QueueUse;
  readonly bodyBytes: number;
  /** Expected time until a slot, in ms. */
  readonly expectedWaitMs: number;
  /** Least time from a slot to the first byte that was seen of late, in ms. */
  readonly minFirstByteMs: number;
  /** Time from a slot to the end within which nine in ten runs keep, in ms. */
  readonly p90RunMs: number;
  /** Time that the caller gives, in ms. */
  readonly remainingMs: number;
  /** From 0 up to 1; spreads the callers that are told to come back. */
  readonly random: number;
}

/** Why a request was refused. */
export type RefusalReason =
  | "draining"
  | "queue-full"
  | "host-full"
  | "deadline-unreachable";

/** The decision. */
export type Admission =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  };

/**
 * Most that may wait at one host over all teams. The hosts are small: 64 MiB of
 * bodies stays well under their memory, and 10,000 waiting requests (each with
 * an open connection) under their file descriptors.
 */
export const HOST_QUEUE_LIMIT: QueueUse = {
  requests: 10_000,
  bytes: 64 * 1024 * 1024,
};

/** A refused caller comes back no sooner, so that retries don't add load. */
const MIN_RETRY_AFTER_MS = 1_000;

/** Nor later: by then the backlog that was seen says nothing any more. */
const MAX_RETRY_AFTER_MS = 60_000;

/** Callers that are refused together come back spread over this share more. */
const RETRY_SPREAD = 0.25;

/** Decides for one request. */
export function decideAdmission(input: AdmissionInput): Admission {
  if (input.isDraining) return refuse(input, "draining", 0);
  if (input.teamQueued >= input.maxQueued) {
    // By then all that waits now has its slot.
    return refuse(input, "queue-full", input.expectedWaitMs);
  }
  if (!fitsHost(input)) return refuse(input, "host-full", input.expectedWaitMs);
  const neededMs = getNeededMs(input);
  if (neededMs > input.remainingMs) {
    const shortMs = neededMs - input.remainingMs;
    return refuse(input, "deadline-unreachable", shortMs);
  }
  return { kind: "admitted" };
}

/**
 * The expected wait must fit so many times: it errs, and a queue that reaches up
 * to the deadline keeps no slot busier than one that is half as long. At 1 the
 * goodput at twice the load is 88% of that at once the load, at 1.5 95%.
 */
const ADMISSION_MARGIN = 2;

/**
 * Behind a queue a request needs time for its run, too: a slot given to one that
 * ends late is taken from one that would have ended in time. With slots free
 * nothing is lost by trying.
 */
function getNeededMs(input: AdmissionInput): number {
  const {
    expectedWaitMs,
    minFirstByteMs: leastServiceMs,
    p90RunMs: longServiceMs,
  } = input;
  if (expectedWaitMs === 0) return leastServiceMs;
  return expectedWaitMs * ADMISSION_MARGIN + longServiceMs;
}

/**
 * Dynamic threshold: a team may hold as much as is still free. One flooding
 * team gets at most half of the memory, k of them k/(k+1) together, and what
 * stays free is there at once for a team that floods nothing. A fixed share for
 * each team would be too small to use at 290 teams; none at all lets the first
 * to flood shut out the rest.
 */
function fitsHost(input: AdmissionInput): boolean {
  const { teamUse, hostUse, bodyBytes } = input;
  const freeRequests = HOST_QUEUE_LIMIT.requests - hostUse.requests;
  const freeBytes = HOST_QUEUE_LIMIT.bytes - hostUse.bytes;
  return teamUse.requests + 1 <= freeRequests &&
    teamUse.bytes + bodyBytes <= freeBytes;
}

function refuse(
  input: AdmissionInput,
  reason: RefusalReason,
  waitMs: number,
): Admission {
  return {
    kind: "refused",
    reason,
    retryAfterMs: getRetryAfterMs(waitMs, input.random),
  };
}

/** When to come back, from the time that the backlog needs; whole ms. */
export function getRetryAfterMs(waitMs: number, random: number): number {
  const spreadMs = waitMs * (1 + RETRY_SPREAD * random);
  return Math.ceil(clamp(spreadMs, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS));
}

/**
 * A waiting request is given up only when its expected wait is longer than what
 * is left by this factor: the estimate errs, and a request that was admitted
 * should not leave over a small change of pace.
 */
const GIVE_UP_MARGIN = 1.5;

/**
 * Whether a waiting request can't meet its deadline any more. Load: capacity is
 * lost while thousands wait. Harm prevented: they wait to their deadlines for
 * nothing, and their callers learn too late to go elsewhere.
 */
export function isDeadlineUnreachable(
  input: {
    readonly expectedWaitMs: number;
    readonly minFirstByteMs: number;
    readonly remainingMs: number;
  },
): boolean {
  const { expectedWaitMs, minFirstByteMs: leastServiceMs, remainingMs } = input;
  if (leastServiceMs > remainingMs) return true;
  return expectedWaitMs > GIVE_UP_MARGIN * remainingMs;
}
