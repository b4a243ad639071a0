/**
 * Helpers of the router's periodic tasks, each of which is one fiber.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { PlatformError } from "../platform/mod.ts";

/** Runs a task at once and again after each pause, in ms. */
export function runPeriodically(
  pauseMs: number | (() => number),
  task: Effect.Effect<void>,
): Effect.Effect<never> {
  return Effect.gen(function* () {
    while (true) {
      yield* task;
      yield* Effect.sleep(typeof pauseMs === "number" ? pauseMs : pauseMs());
    }
  });
}

/** Runs a call to the platform; reports its failure instead of failing. */
export function reportPlatformFailure<A>(
  call: Effect.Effect<A, PlatformError>,
  onFailure: (reason: string) => void,
): Effect.Effect<void> {
  return call.pipe(
    Effect.catchTag(
      "PlatformError",
      (err) => Effect.sync(() => onFailure(err.reason)),
    ),
    Effect.asVoid,
  );
}
