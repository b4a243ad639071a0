import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { getBacklog } from "./servers.ts";

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
