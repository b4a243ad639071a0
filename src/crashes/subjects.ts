/**
 * What a crash can be put down to: the whole content of a request, or one part
 * of prompts, which requests share that have nothing else in common.
 *
 * @module
 */

import { getDigest } from "../core/mod.ts";

/** From when on crashes are held against a subject. */
export interface CrashLimits {
  /** Upstream processes that ended under it. */
  readonly crashes: number;
  /** Moments at which they ended; see `countMoments`. */
  readonly moments: number;
}

/** A third crash of one content, sent again as it is, is no coincidence. */
const CONTENT_LIMITS: CrashLimits = { crashes: 3, moments: 1 };

/**
 * Innocent parts are in many prompts, so that they are at many crashes. Crashes
 * at one moment have one cause and leave no part the time to run well.
 */
const PART_LIMITS: CrashLimits = { crashes: 5, moments: 3 };

/** Prefix of the name of a part. A content's name has only hexadecimal digits. */
const PART_PREFIX = "part-";

/** Ids of parts that may stand in a name as they are. */
const PLAIN_ID = /^[0-9A-Za-z_.-]{1,32}$/;

/** Limit on the parts of one request that are named; those beyond are not. */
const MAX_PARTS = 16;

/**
 * Names the parts that other requests may have as well: all but the last, which
 * belongs to one request or session. Takes their ids in prompt order.
 */
export function getSharedParts(ids: readonly string[]): readonly string[] {
  const shared = new Set(ids.slice(0, -1).slice(0, MAX_PARTS));
  return [...shared].map(getPartName);
}

/** Whether this is the name of a part. */
export function isPart(subject: string): boolean {
  return subject.startsWith(PART_PREFIX);
}

/** Returns the limits of the subject's kind. */
export function getCrashLimits(subject: string): CrashLimits {
  return isPart(subject) ? PART_LIMITS : CONTENT_LIMITS;
}

function getPartName(id: string): string {
  const text = PLAIN_ID.test(id) ? id : getDigest(id).slice(0, 32);
  return `${PART_PREFIX}${text}`;
}
