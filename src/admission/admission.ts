/**
 * Admits a request or refuses it at once. A refusal is final: the request has
 * not run, and its caller is told when to retry.
 *
 * Load: one team sends far more than its share, or a service is saturated for
 * minutes. Harm prevented: requests that can't be served in time take memory
 * and, once they start, slots from those that can; and a single team that fills
 * the host's memory shuts out all other teams.
 *
 * @module
 */

import { clamp } from "../core/mod.ts";

/** Waiting requests: their number and the bytes of their bodies. */
export interface QueueUse {
  readonly requests: number;
  readonly bytes: number;
}

/** Inputs of an admission decision. */
export interface AdmissionInput {
  readonly isDraining: boolean;
  /** Requests of the team that wait at this host for the service. */
  readonly teamQueued: number;
  /** The limit on `teamQueued`. */
  readonly maxQueued: number;
  /** All waiting requests of the team at this host, for any service. */
  readonly teamUse: QueueUse;
  /** All waiting requests at this host, of every team. */
  readonly hostUse: QueueUse;
  readonly bodyBytes: number;
  /** Expected wait for a slot, in ms. */
  readonly expectedWaitMs: number;
  /** Least recent time from a slot to the first byte of the answer, in ms. */
  readonly minFirstByteMs: number;
  /**
   * 90th percentile of the time from a slot to the end of the answer, in ms.
   */
  readonly p90RunMs: number;
  /** Time until the caller's deadline, in ms. */
  readonly remainingMs: number;
  /** A random number from 0 up to 1; spreads the retries of refused callers. */
  readonly random: number;
}

/** Why a request was refused. */
export type RefusalReason =
  | "draining"
  | "queue-full"
  | "host-full"
  | "deadline-unreachable";

/** The decision on a request. */
export type Admission =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  };

/**
 * Limit on the waiting requests of one host, over all teams. The hosts are
 * small: 64 MiB of bodies is well below their memory, and 10,000 waiting
 * requests, each with an open connection, are below their limit on file
 * descriptors.
 */
export const HOST_QUEUE_LIMIT: QueueUse = {
  requests: 10_000,
  bytes: 64 * 1024 * 1024,
};

/**
 * Least time after which a refused caller retries, so that retries add no load.
 */
const MIN_RETRY_AFTER_MS = 1_000;

/**
 * Longest time after which a refused caller retries: by then the backlog is
 * unrelated to the one that caused the refusal.
 */
const MAX_RETRY_AFTER_MS = 60_000;

/**
 * Retry times are lengthened by a random part of up to this share, so that
 * callers that were refused together do not retry together.
 */
const RETRY_SPREAD = 0.25;

/** Decides whether one request is admitted. */
export function decideAdmission(input: AdmissionInput): Admission {
  if (input.isDraining) return refuse(input, "draining", 0);
  if (input.teamQueued >= input.maxQueued) {
    // After the expected wait all requests that wait now have their slots.
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
 * Safety factor on the expected wait. The estimate has errors, and a queue as
 * long as the deadline keeps slots no busier than one of half that length. At
 * twice the load a factor of 1 gives 88% of the goodput at nominal load, and
 * 1.5 gives 95%.
 */
const ADMISSION_MARGIN = 2;

/**
 * Returns the time that a request needs before its deadline, in ms. Behind a
 * queue this includes the time of its run: a slot given to a request that ends
 * late is missing for one that would have ended in time. With free slots
 * nothing is lost by trying.
 */
function getNeededMs(input: AdmissionInput): number {
  const { expectedWaitMs, minFirstByteMs, p90RunMs } = input;
  if (expectedWaitMs === 0) return minFirstByteMs;
  return expectedWaitMs * ADMISSION_MARGIN + p90RunMs;
}

/**
 * Whether the host's limits allow one more request of the team. The limit for a
 * team is dynamic: it may use as much as is still free. A single team that
 * sends without limit gets at most half of the memory, k such teams get k/(k+1)
 * together, and the rest is available at once to the other teams. With 290
 * teams a fixed share for each would be too small to be useful; without any
 * limit the first team to send too much would shut out the rest.
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

/**
 * Time after which to retry, in whole ms, from the time that the backlog needs.
 */
export function getRetryAfterMs(waitMs: number, random: number): number {
  const spreadMs = waitMs * (1 + RETRY_SPREAD * random);
  return Math.ceil(clamp(spreadMs, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS));
}

/**
 * A waiting request is given up only when its expected wait exceeds the
 * remaining time by this factor. The estimate has errors, and an admitted
 * request should not be given up because of a small change in the rate of
 * starts.
 */
const GIVE_UP_MARGIN = 1.5;

/**
 * Whether a waiting request can no longer meet its deadline. Load: capacity is
 * lost while thousands of requests wait. Harm prevented: they wait until their
 * deadlines without being served, and their callers learn too late that they
 * should go elsewhere.
 */
export function isDeadlineUnreachable(
  input: {
    readonly expectedWaitMs: number;
    readonly minFirstByteMs: number;
    readonly remainingMs: number;
  },
): boolean {
  const { expectedWaitMs, minFirstByteMs, remainingMs } = input;
  if (minFirstByteMs > remainingMs) return true;
  return expectedWaitMs > GIVE_UP_MARGIN * remainingMs;
}
