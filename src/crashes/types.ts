/**
 * Types of crash events: what was running at which upstream process when that
 * process ended.
 *
 * @module
 */

import type { UpstreamEntry } from "../discovery/mod.ts";

/** One run of an upstream process, and where it listens. */
export type UpstreamProcess = Pick<
  UpstreamEntry,
  "id" | "incarnation" | "address"
>;

/**
 * A subject whose response broke off when an upstream process ended. A subject
 * and a process identify an event, so that any number of reports count once.
 */
export interface CrashEvent {
  /** Digest of a content, or name of a part; see `isPart`. */
  readonly subject: string;
  /** Key of the upstream process, see `getProcessKey`. */
  readonly process: string;
  /** Wall-clock time at which the response broke off, in ms. */
  readonly atMs: number;
  /**
   * A refuted event does not count: the subject has run well, so that it merely
   * ran beside the cause of the crash.
   */
  readonly state: "counted" | "refuted";
}

/** What a request can crash upstreams by. */
export interface RequestSubjects {
  /** Digest of its whole content. */
  readonly fingerprint: string;
  /** Names of the parts of its prompt that other requests may have as well. */
  readonly parts: readonly string[];
}

/** Returns a text without spaces that identifies the run of the process. */
export function getProcessKey({ id, incarnation }: UpstreamProcess): string {
  return `${incarnation}/${id}`;
}
