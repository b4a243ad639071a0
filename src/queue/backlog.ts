/**
 * Tracks how many prompts of each team and route wait at this host and how fast
 * they start, to decide whether one more prompt could still start in time.
 *
 * Load: a team sends many times its share. Harm prevented: each of its prompts
 * waits for half a second before it is refused, although its caller could have
 * been told at once, and hundreds of waiting prompts take processing time that
 * the host needs for other teams.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import { createDecayingRate, type DecayingRate } from "../load/mod.ts";

/** Groups prompts that wait for the same upstreams. */
export interface BacklogKey {
  readonly team: string;
  readonly route: string;
}

/** Waiting prompts of one host, by team and route. */
export interface PromptBacklogTracker {
  recordAdded(key: BacklogKey): void;
  /**
   * Records that a prompt has left the queue, whether or not it was started.
   */
  recordRemoved(key: BacklogKey, isStarted: boolean): void;
  getBacklog(key: BacklogKey): PromptBacklog;
}

/** Number of waiting prompts of one group, and their recent start rate. */
export interface PromptBacklog {
  readonly waiting: number;
  readonly startedPerSecond: number;
}

/** Half-life of the decaying start rate. */
const HALF_LIFE_MS = 1_000;

/**
 * This many prompts of a group may always wait. Without them the start rate
 * would stay unknown.
 */
const MIN_ALLOWED_WAITING = 4;

/**
 * Prompts that may wait, relative to the number expected to start in time. The
 * margin allows for upstreams that become free sooner than expected.
 */
const HEADROOM_FACTOR = 1.5;

interface TrackedBacklog {
  waiting: number;
  readonly started: DecayingRate;
}

/** Creates a tracker for a host with an empty queue. */
export function createPromptBacklogTracker(
  nowMs: () => number,
): PromptBacklogTracker {
  const tracked = new Map<string, TrackedBacklog>();
  const getTracked = ({ team, route }: BacklogKey) =>
    getOrCreate(
      tracked,
      `${team}\n${route}`,
      () => ({ waiting: 0, started: createDecayingRate(HALF_LIFE_MS) }),
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

/**
 * Whether more prompts wait than are expected to start within the time given.
 */
export function isTooLong(
  backlog: PromptBacklog,
  maxWaitMs: number,
): boolean {
  const expectedStarts = backlog.startedPerSecond * maxWaitMs / 1_000;
  return backlog.waiting >=
    Math.max(MIN_ALLOWED_WAITING, expectedStarts * HEADROOM_FACTOR);
}
