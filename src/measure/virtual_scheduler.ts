/**
 * Scheduler in virtual time, for measurements and tests. It runs callbacks in
 * the order of their due times and advances a manual clock to each due time, so
 * that a run is the same on every machine.
 *
 * @module
 */

import { createManualClock, type ManualClock } from "../core/mod.ts";

interface ScheduledTask {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs callbacks in virtual time. */
export interface VirtualScheduler {
  readonly clock: ManualClock;
  /** Runs the callback once, after the delay in virtual milliseconds. */
  after(ms: number, run: () => void): void;
  /** Runs the callback periodically, for the first time after one period. */
  every(periodMs: number, run: () => void): void;
  /**
   * Runs all callbacks that are due up to `endMs` and advances the clock to it.
   */
  runUntil(endMs: number): void;
}

/** Creates a scheduler whose virtual time starts at zero. */
export function createVirtualScheduler(): VirtualScheduler {
  const clock = createManualClock();
  // A binary heap, ordered by due time, then by order of scheduling.
  const heap: ScheduledTask[] = [];
  let order = 0;

  function isBefore(a: ScheduledTask, b: ScheduledTask): boolean {
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  function push(entry: ScheduledTask): void {
    heap.push(entry);
    let at = heap.length - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(heap[at]!, heap[parent]!)) return;
      [heap[at], heap[parent]] = [heap[parent]!, heap[at]!];
      at = parent;
    }
  }

  function pop(): ScheduledTask {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    heap[0] = last;
    let at = 0;
    while (true) {
      let least = at;
      for (const child of [2 * at + 1, 2 * at + 2]) {
        if (child >= heap.length) continue;
        if (isBefore(heap[child]!, heap[least]!)) least = child;
      }
      if (least === at) return first;
      [heap[at], heap[least]] = [heap[least]!, heap[at]!];
      at = least;
    }
  }

  function after(ms: number, run: () => void): void {
    push({ atMs: clock.monotonicMs() + ms, order: order++, run });
  }

  return {
    clock,
    after,
    every(periodMs, run) {
      const again = () => {
        run();
        after(periodMs, again);
      };
      after(periodMs, again);
    },
    runUntil(endMs) {
      while (heap.length > 0 && heap[0]!.atMs <= endMs) {
        const entry = pop();
        clock.advance(entry.atMs - clock.monotonicMs());
        entry.run();
      }
      clock.advance(endMs - clock.monotonicMs());
    },
  };
}
