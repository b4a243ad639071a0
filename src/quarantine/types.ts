/**
 * Types of the quarantine: records of content that was running when an upstream
 * crashed.
 *
 * @module
 */

import type * as Effect from "effect/Effect";

/** Number of crashes after which content is refused. */
export const CRASH_LIMIT = 2;

/**
 * Crash record of one content: a row of the table service, and the value of the
 * fact that hosts exchange.
 */
export interface CrashRecord {
  readonly fingerprint: string;
  /**
   * Crashes attributed to the content. The first may have been caused by a
   * request that ran beside it; from the second on the content ran alone.
   */
  readonly crashes: number;
  /** Expiry of the record, in wall-clock milliseconds. */
  readonly expiresMs: number;
  /**
   * Unique for each write; shows after a lost reply whether the write took
   * effect.
   */
  readonly writeId: string;
  /**
   * The host that holds the trial of the content, and when the trial expires.
   */
  readonly trial?: { readonly host: string; readonly untilMs: number };
}

/**
 * Result of a request for a trial. "begun": the trial is reserved. "busy":
 * another host holds the trial of this content. "over": the content is no
 * longer a suspect, or is in quarantine.
 */
export type TrialResult = "begun" | "busy" | "over";

/** Circumstances of a crash. */
export interface CrashCircumstances {
  /**
   * The content had exclusive use of the upstream, as far as its host knows.
   */
  readonly isExclusive: boolean;
  /** The request ends with this crash, so its caller may resend it at once. */
  readonly isFinal: boolean;
}

/** Counts crashes by content over the fleet, and quarantines content. */
export interface Quarantine {
  /** Crashes counted for the content; 0 when it is not a suspect. */
  getCrashes(fingerprint: string): number;
  isQuarantined(fingerprint: string): boolean;
  /**
   * Counts a crash in the table service and sends the record to all hosts;
   * returns the new count. If `isFinal` is set, ends only once the other hosts
   * should have received the record.
   */
  recordCrash(
    fingerprint: string,
    options: CrashCircumstances,
  ): Effect.Effect<number>;
  /** Reserves the content for a request of this host, in the whole fleet. */
  beginTrial(fingerprint: string): Effect.Effect<TrialResult>;
  /** Releases the reservation, if this host still holds it. */
  endTrial(fingerprint: string): Effect.Effect<void>;
  /**
   * Reloads the records from the table service while some host is unreachable,
   * since its records may not have reached this host; otherwise does nothing.
   */
  readonly refreshIfPartitioned: Effect.Effect<void>;
  /** Clears the suspicion of content that ran alone without a crash. */
  clear(fingerprint: string): Effect.Effect<void>;
  /** Merges the crash record of another host. */
  receiveFact(value: string): void;
  /**
   * Loads all records from the table service; called at the start and
   * periodically.
   */
  readonly refresh: Effect.Effect<void>;
}
