import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { getBacklog } from "./servers.ts";

test("the accept queue holds no more connections than are handed off before callers give up", () => {
  // Connections that wait longer than their callers' time-out are accepted too
  // late to be of use and delay those of callers that are still waiting.
  for (const share of [0.427, 0.675, 1.35]) {
    const waitS = getBacklog(share) / (300 * share);
    ok(waitS <= 0.55, `${waitS} s at ${share} cores`);
  }
});

test("the accept queue of a small host holds what arrives while it is throttled", () => {
  // Guards against callers without a connection: 200 connections per second
  // overflow 12 places in 60 ms.
  for (const share of [0.12, 0.25, 0.324]) strictEqual(getBacklog(share), 64);
});
