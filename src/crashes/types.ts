/**
 * Types of crash events: which content was running at which upstream process
 * when that process ended.
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
 * A content whose response broke off when an upstream process ended. A content
 * and a process identify an event, so that any number of reports count once.
 */
export interface CrashEvent {
  /** Digest of the content. */
  readonly fingerprint: string;
  /** Key of the upstream process, see `getProcessKey`. */
  readonly process: string;
  /** Wall-clock time at which a host detected the crash, in ms. */
  readonly atMs: number;
  /**
   * A refuted event does not count: the content has run to a good end, so that
   * it merely ran beside the cause of the crash.
   */
  readonly state: "counted" | "refuted";
}

/**
 * A content is blocked at this number of crashes; a third one is no longer a
 * coincidence.
 */
export const CRASH_LIMIT = 3;

/** Returns a text without spaces that identifies the run of the process. */
export function getProcessKey({ id, incarnation }: UpstreamProcess): string {
  return `${incarnation}/${id}`;
}
