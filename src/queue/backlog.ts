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
export interface Backlogs {
  noteAdded(key: BacklogKey): void;
  /** It has left the queue, started or not. */
  noteLeft(key: BacklogKey, isStarted: boolean): void;
  getBacklog(key: BacklogKey): Backlog;
}

/** What waits, and how fast it starts. */
export interface Backlog {
  readonly waiting: number;
  readonly startedPerSecond: number;
}

/** How fast prompts start fades to a half in so long, in ms. */
const HALF_LIFE_MS = 1_000;

/** So many may always wait: whether they start at all must be found out. */
const LEAST_WAITING = 4;

/** So many times as many may wait as would start: room may appear. */
const SPARE = 1.5;

interface Line {
  waiting: number;
  readonly started: Rate;
}

/** Makes the counts of a host where nothing waits. */
export function createBacklogs(nowMs: () => number): Backlogs {
  const lines = new Map<string, Line>();
  const getLine = ({ team, route }: BacklogKey) =>
    getOrCreate(
      lines,
      `${team}\n${route}`,
      () => ({ waiting: 0, started: createRate(HALF_LIFE_MS) }),
    );

  return {
    noteAdded: (key) => void getLine(key).waiting++,
    noteLeft(key, isStarted) {
      const line = getLine(key);
      line.waiting--;
      if (isStarted) line.started.add(1, nowMs());
    },
    getBacklog(key) {
      const { waiting, started } = getLine(key);
      return { waiting, startedPerSecond: started.get(nowMs()) };
    },
  };
}

/** Whether more wait than can start within the wait given, in ms. */
export function isInVain(backlog: Backlog, longestWaitMs: number): boolean {
  const starting = backlog.startedPerSecond * longestWaitMs / 1_000;
  return backlog.waiting >= Math.max(LEAST_WAITING, starting * SPARE);
}
