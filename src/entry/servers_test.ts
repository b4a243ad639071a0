import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { getBacklog, getHandoffBacklog } from "./servers.ts";

test("the accept queue holds no more connections than are accepted before callers give up", () => {
  // A burst opens 200 connections per second at a host that processes 15.
  // Connections that wait longer than their callers' time-out are accepted too
  // late to be of use and delay those of callers that are still waiting.
  for (const share of [0.324, 0.675, 1.35]) {
    const waitS = getBacklog(share) / (100 * share);
    ok(waitS <= 0.55, `${waitS} s at ${share} cores`);
  }
  strictEqual(getBacklog(0.12), 8);
});

test("the accept queue of a host that hands off holds what arrives while it is throttled", () => {
  // Guards against callers without a connection: 200 connections per second
  // overflow 12 places in 60 ms.
  for (const share of [0.427, 0.675, 1.35]) {
    const waitS = getHandoffBacklog(share) / (300 * share);
    ok(waitS <= 0.55, `${waitS} s at ${share} cores`);
  }
  strictEqual(getHandoffBacklog(0.25), 64);
});
