/**
 * Spaces the scheduling passes of a host so that they take a bounded part of its
 * time.
 *
 * Load: many prompts wait at a host with a third of a core. Failure prevented: a
 * pass over all of them a hundred times per second takes a large part of the
 * processor time that accepting and answering need, and the longer a pass takes,
 * the more prompts wait for the next one.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";

/** Runs scheduling passes when they are due. */
export interface PassPacing {
  /** Runs the pass unless the one before was too short a time ago. */
  run(pass: () => void): void;
}

/** Maximum share of the time that passes may take. */
const MAX_PASS_SHARE = 0.1;

/**
 * Maximum time between two passes, in ms: a small part of the time for which
 * prompts wait.
 */
const MAX_INTERVAL_MS = 50;

/** Creates the pacing of a host that has run no pass. */
export function createPassPacing(clock: Clock): PassPacing {
  let dueMs = -Infinity;

  return {
    run(pass) {
      const startMs = clock.monotonicMs();
      if (startMs < dueMs) return;
      pass();
      const tookMs = clock.monotonicMs() - startMs;
      dueMs = startMs + Math.min(MAX_INTERVAL_MS, tookMs / MAX_PASS_SHARE);
    },
  };
}
