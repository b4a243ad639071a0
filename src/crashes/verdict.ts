/**
 * Decides what of a request crashes upstreams, if anything does.
 *
 * Load: one part of prompts crashes each upstream that begins to answer it, and
 * all other prompts that run there break off with it. Parts that many prompts
 * share are at each of these crashes, too.
 *
 * Failures prevented: prompts with that part take down upstream after upstream;
 * or sound prompts are refused for a part that merely was there.
 *
 * A subject is suspect from a number of crashes on, at a number of moments, as
 * long as it has not run well since. A suspect part is held against a request
 * only if crashes remain that no other part explains which the request lacks.
 * So a sound prompt passes beside a bad part with which it shares other parts,
 * and its answer clears these. A prompt that has all parts of the crashes doesn't
 * pass.
 *
 * @module
 */

import { getCrashLimits } from "./subjects.ts";
import type { CrashEvent, RequestSubjects } from "./types.ts";

/** The crashes that one host knows of. */
export interface KnownCrashes {
  /** Returns the counted events of a subject. */
  getCounted(subject: string): readonly CrashEvent[];
  /** Likewise those of which all that the fleet knows should have come. */
  getSettled(subject: string): readonly CrashEvent[];
  /** The parts that are suspect by their settled events. */
  getSuspectParts(): readonly string[];
  /**
   * The parts that may explain the crashes of others, with at least so many
   * counted events.
   */
  getRivals(crashes: number): readonly string[];
}

/** Crashes within this time of the first of them are one moment, in ms. */
const MOMENT_MS = 500;

/** Share of a part's crashes at which another one must be to explain them. */
const MIN_RIVAL_SHARE = 0.5;

/** Moments of unexplained crashes from which on a part is held against prompts. */
const MIN_UNEXPLAINED_MOMENTS = 2;

/** Number of moments at which the events happened. */
export function countMoments(events: readonly CrashEvent[]): number {
  const times = events.map(({ atMs }) => atMs).sort((a, b) => a - b);
  let moments = 0;
  let startMs = -Infinity;
  for (const atMs of times) {
    if (atMs - startMs <= MOMENT_MS) continue;
    moments++;
    startMs = atMs;
  }
  return moments;
}

/** Whether the events of a subject make it a suspect. */
export function isSuspect(
  subject: string,
  counted: readonly CrashEvent[],
): boolean {
  const { crashes, moments } = getCrashLimits(subject);
  return counted.length >= crashes && countMoments(counted) >= moments;
}

/** Returns what of the request crashes upstreams; `undefined` if nothing does. */
export function tryFindCulprit(
  { fingerprint, parts }: RequestSubjects,
  known: KnownCrashes,
): string | undefined {
  if (isSuspect(fingerprint, known.getCounted(fingerprint))) return fingerprint;
  return known.getSuspectParts()
    .filter((each) => parts.includes(each))
    .find((each) => isHeldAgainst(each, parts, known));
}

/**
 * Whether crashes of a suspect part remain, at several moments, that no part
 * explains but those of the request. A part at few of them explains none: it
 * would be the cause of a rest that has another one.
 */
function isHeldAgainst(
  suspect: string,
  parts: readonly string[],
  known: KnownCrashes,
): boolean {
  const crashes = known.getSettled(suspect);
  const explained = new Set(
    known.getRivals(crashes.length * MIN_RIVAL_SHARE)
      .filter((each) => !parts.includes(each))
      .flatMap((each) => known.getCounted(each).map(getProcess)),
  );
  const unexplained = crashes.filter((each) => !explained.has(each.process));
  return countMoments(unexplained) >= MIN_UNEXPLAINED_MOMENTS;
}

function getProcess({ process }: CrashEvent): string {
  return process;
}
