/**
 * What the fleet knows of content that was running when an upstream failed.
 *
 * @module
 */

import type * as Effect from "effect/Effect";

/** Crashes of one content after which it is refused. */
export const CRASH_LIMIT = 2;

/** Record of one content; the row of the table service and the fact's value. */
export interface CrashRecord {
  readonly fingerprint: string;
  /**
   * Crashes that it caused, as far as known: the first may be a neighbour's;
   * from the second on it ran alone.
   */
  readonly crashes: number;
  /** Wall milliseconds after which the record is forgotten. */
  readonly expiresMs: number;
  /** New at each write; tells after a lost reply whether it took effect. */
  readonly writeId: string;
  /** The host that runs the content alone now, and until when at most. */
  readonly trial?: { readonly host: string; readonly untilMs: number };
}

/**
 * What a host is told that wants to run a suspect. "busy": another host runs the
 * same content. "over": it is no suspect any more, or is in quarantine.
 */
export type TrialResult = "begun" | "busy" | "over";

/** How a crash came about. */
export interface CrashCircumstances {
  /** The content had the upstream alone, as far as its host knows. */
  readonly isExclusive: boolean;
  /** The request is answered now, so its caller may send it again at once. */
  readonly isFinal: boolean;
}

/** Counts crashes by content over the fleet. */
export interface Quarantine {
  /** Crashes counted for the content; 0 when it is under no suspicion. */
  getCrashes(fingerprint: string): number;
  isQuarantined(fingerprint: string): boolean;
  /**
   * Counts a crash in the table service and tells all hosts; gives the new
   * count. When the caller is answered next, it ends once the others know.
   */
  recordCrash(
    fingerprint: string,
    options: CrashCircumstances,
  ): Effect.Effect<number>;
  /** Reserves the content for a run of this host, over the whole fleet. */
  beginTrial(fingerprint: string): Effect.Effect<TrialResult>;
  /** Gives the reservation up, if it stands still. */
  endTrial(fingerprint: string): Effect.Effect<void>;
  /**
   * Looks into the table service when other hosts' records may not have reached
   * this one, since a host is out of sight; else does nothing.
   */
  readonly refreshIfPartitioned: Effect.Effect<void>;
  /** Ends the suspicion of content that ran alone to its end. */
  clear(fingerprint: string): Effect.Effect<void>;
  /** Takes in another host's word. */
  receiveFact(value: string): void;
  /** Reads all records, as an empty host does at its start, and now and then. */
  readonly refresh: Effect.Effect<void>;
}
