/**
 * The router's periodic tasks, each one fiber that works and pauses in turn.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { PlatformError } from "../platform/mod.ts";

/** Runs a task at once and then again after each pause, in milliseconds. */
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

/** A call to the platform whose failure is told and not raised. */
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
