import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  getBackoffRetryMs,
  getNoConfigRetryMs,
  NO_CONFIG_RETRY_MS,
} from "./retry_after.ts";

test("after an ordinary start callers retry in half a second", () => {
  const input = { sinceStartMs: 40, callerTimeoutMs: 15_000, random: 0.5 };
  strictEqual(getNoConfigRetryMs(input), NO_CONFIG_RETRY_MS);
});

test("the retry delay grows while the platform stays unavailable", () => {
  // All hosts are killed during an outage of the platform and restart without a
  // configuration. Each caller retries once; after a delay of half a second it
  // would come back during the outage and be rejected for good.
  const outageEndsMs = 2_000;
  const callerTimeoutMs = 15_000;
  for (const sinceStartMs of [1_200, 1_600]) {
    const waitMs = getNoConfigRetryMs({
      sinceStartMs,
      callerTimeoutMs,
      random: 0,
    });
    ok(sinceStartMs + waitMs > outageEndsMs, `${waitMs} at ${sinceStartMs}`);
  }
});

test("the retry delay never exceeds the caller's time-out", () => {
  const input = { sinceStartMs: 60_000, random: 1 };
  strictEqual(getNoConfigRetryMs({ ...input, callerTimeoutMs: 3_000 }), 1_000);
  ok(getNoConfigRetryMs({ ...input, callerTimeoutMs: undefined }) <= 3_000);
});

test("callers that are rejected together get different retry delays", () => {
  const times = [0, 0.5, 1].map((random) =>
    getNoConfigRetryMs({
      sinceStartMs: 1_000,
      callerTimeoutMs: undefined,
      random,
    })
  );
  strictEqual(new Set(times).size, times.length);
});

test("during a back-off retry delays are at least the back-off, and differ", () => {
  // Guards against callers that retry during the back-off or all at once.
  strictEqual(getBackoffRetryMs(4_000, 0), 4_000);
  strictEqual(getBackoffRetryMs(4_000, 0.5), 4_500);
  strictEqual(getBackoffRetryMs(100, 0.5), 350);
});
