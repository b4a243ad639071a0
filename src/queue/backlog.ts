/**
 * Decides whether one more prompt of a team would wait in vain.
 *
 * Load: a team sends many times its share. Harm prevented: each of its prompts
 * waits for half a second and is refused then, which its caller could have been
 * told at once; hundreds that wait cost the host the time that others need.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import { createRate, type Rate } from "../load/mod.ts";

/** Prompts that are alike in what they wait for. */
export interface BacklogKey {
  readonly team: string;
  readonly route: string;
}

/** The prompts that wait at one host, by team and route. */
export interface PromptBacklogTracker {
  recordAdded(key: BacklogKey): void;
  /** It has left the queue, started or not. */
  recordRemoved(key: BacklogKey, isStarted: boolean): void;
  getBacklog(key: BacklogKey): PromptBacklog;
}

/** What waits, and how fast it starts. */
export interface PromptBacklog {
  readonly waiting: number;
  readonly startedPerSecond: number;
}

/** How fast prompts start fades to a half in so long, in ms. */
const HALF_LIFE_MS = 1_000;

/** So many may always wait: whether they start at all must be found out. */
const MIN_ALLOWED_WAITING = 4;

/** So many times as many may wait as would start: room may appear. */
const HEADROOM_FACTOR = 1.5;

interface TrackedBacklog {
  waiting: number;
  readonly started: Rate;
}

/** Makes the counts of a host where nothing waits. */
export function createPromptBacklogTracker(
  nowMs: () => number,
): PromptBacklogTracker {
  const tracked = new Map<string, TrackedBacklog>();
  const getTracked = ({ team, route }: BacklogKey) =>
    getOrCreate(
      tracked,
      `${team}\n${route}`,
      () => ({ waiting: 0, started: createRate(HALF_LIFE_MS) }),
    );

  return {
    recordAdded: (key) => void getTracked(key).waiting++,
    recordRemoved(key, isStarted) {
      const entry = getTracked(key);
      entry.waiting--;
      if (isStarted) entry.started.add(1, nowMs());
    },
    getBacklog(key) {
      const { waiting, started } = getTracked(key);
      return { waiting, startedPerSecond: started.get(nowMs()) };
    },
  };
}

/** Whether more wait than can start within the wait given, in ms. */
export function isTooLong(
  backlog: PromptBacklog,
  maxWaitMs: number,
): boolean {
  const expectedStarts = backlog.startedPerSecond * maxWaitMs / 1_000;
  return backlog.waiting >=
    Math.max(MIN_ALLOWED_WAITING, expectedStarts * HEADROOM_FACTOR);
}
