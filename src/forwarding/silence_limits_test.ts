import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import type { Route } from "../routing/mod.ts";
import { createRoute } from "../testing/routing_fixture.ts";
import { getPatienceMs, tryGetSilenceLimitMs } from "./silence_limits.ts";

/** Longest time for which an upstream that takes over may prefill, in ms. */
const MIN_TAKE_OVER_MS = 400;

const call: Partial<Route> = { kind: "idempotent", maxAttempts: 2 };

function createStream(targetMs: number, pauseTargetMs?: number): Route {
  return createRoute({ kind: "stream", targetMs, pauseTargetMs });
}

test("callers wait for two seconds, four targets or eight pauses", () => {
  deepStrictEqual(
    [
      createStream(400, 200),
      createStream(800, 200),
      createStream(400, 500),
      createStream(400),
    ].map(getPatienceMs),
    [2_000, 3_200, 4_000, 2_000],
  );
});

test("another upstream is sought before callers abandon a stream, and not at each short pause", () => {
  for (const targetMs of [100, 400, 600, 800, 2_000]) {
    for (const pauseTargetMs of [undefined, 200, 400, 500]) {
      const route = createStream(targetMs, pauseTargetMs);
      const limitMs = tryGetSilenceLimitMs(route, Infinity)!;
      ok(getPatienceMs(route) - limitMs >= MIN_TAKE_OVER_MS);
      ok(limitMs >= 1_500, `${limitMs} ms`);
    }
  }
});

test("no other upstream is sought for a request that may run only once", () => {
  for (
    const changes of [
      { kind: "at-most-once" },
      { kind: "stream", isResumable: false },
      { kind: "stream", maxAttempts: 1 },
      { ...call, maxAttempts: 1 },
    ] as const
  ) {
    strictEqual(tryGetSilenceLimitMs(createRoute(changes), 1_000), undefined);
  }
});

test("a call leaves half of its time to a second upstream", () => {
  strictEqual(tryGetSilenceLimitMs(createRoute(call), 1_000), 500);
});
