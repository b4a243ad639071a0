import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  getBackoffRetryMs,
  getNoConfigRetryMs,
  NO_CONFIG_RETRY_MS,
} from "./retry_after.ts";

test("after a usual start callers come back in half a second", () => {
  const input = { sinceStartMs: 40, callerTimeoutMs: 15_000, random: 0.5 };
  strictEqual(getNoConfigRetryMs(input), NO_CONFIG_RETRY_MS);
});

test("while the platform stays away callers are told to wait longer", () => {
  // All hosts are killed during an outage of the platform and start with nothing.
  // Each caller comes back once; told half a second it comes while the outage
  // lasts, and is refused for good.
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

test("no caller is told to wait longer than it will", () => {
  const input = { sinceStartMs: 60_000, random: 1 };
  strictEqual(getNoConfigRetryMs({ ...input, callerTimeoutMs: 3_000 }), 1_000);
  ok(getNoConfigRetryMs({ ...input, callerTimeoutMs: undefined }) <= 3_000);
});

test("callers that are refused together come back one by one", () => {
  const times = [0, 0.5, 1].map((random) =>
    getNoConfigRetryMs({
      sinceStartMs: 1_000,
      callerTimeoutMs: undefined,
      random,
    })
  );
  strictEqual(new Set(times).size, times.length);
});

test("callers of upstreams that rest are told no less than the rest, and not all the same", () => {
  // Guards against callers that are refused again in the rest, or come in one moment.
  strictEqual(getBackoffRetryMs(4_000, 0), 4_000);
  strictEqual(getBackoffRetryMs(4_000, 0.5), 4_500);
  strictEqual(getBackoffRetryMs(100, 0.5), 350);
});
