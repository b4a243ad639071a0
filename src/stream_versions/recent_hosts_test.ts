import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createRecentHosts } from "./recent_hosts.ts";

test("a host that is gone is forgotten only beside a current table", () => {
  // Guards against hosts that are cut off together and agree after a while.
  const clock = createManualClock();
  const hosts = createRecentHosts(clock);
  hosts.update(() => ["a", "b"], true);
  clock.advance(29_000);
  hosts.update(() => ["a"], true);
  deepStrictEqual(hosts.getAll(), ["a", "b"]);
  clock.advance(60_000);
  hosts.update(() => ["a"], false);
  deepStrictEqual(hosts.getAll(), ["a", "b"]);
  clock.advance(200);
  hosts.update(() => ["a"], true);
  deepStrictEqual(hosts.getAll(), ["a"]);
});
