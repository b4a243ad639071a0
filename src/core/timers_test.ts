import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { startTimeout } from "./timers.ts";

test("a time-out that no timer can hold doesn't run at once", async () => {
  // Guards against requests that time out as a route allows them a long time.
  const ran: number[] = [];
  for (const ms of [2 ** 31, 1e12, 1e300, Infinity]) {
    using _timeout = startTimeout(ms, () => ran.push(ms));
    await sleep(20);
  }
  deepStrictEqual(ran, []);
});
