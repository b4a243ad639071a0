import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createGrantOwners } from "./owners.ts";

test("owners are hosts of the upstream's data centre that are not full", () => {
  // Guards against owners that answer late, or over the link between regions.
  const clock = createManualClock();
  const hosts = Array.from({ length: 17 }, (_, at) => ({
    peerAddress: `127.0.0.${at}:7300`,
    dataCentre: at < 3 ? "near" : "far",
  }));
  const full = new Set<string>();
  let alive = hosts;
  const owners = createGrantOwners({
    nowMs: clock.monotonicMs,
    getHosts: () => alive,
    isFull: (each) => full.has(each.peerAddress),
    tryGetDataCentre: (id) => id === "gone" ? undefined : "near",
  });
  for (let left = 3; left > 0; left--) {
    const owner = owners.tryGetOwner("up-1")!;
    ok(hosts.slice(0, 3).some((each) => each.peerAddress === owner));
    ok(!full.has(owner));
    full.add(owner);
    clock.advance(100);
  }
  strictEqual(owners.tryGetOwner("gone"), undefined);
  ok(owners.isEnabled());
  alive = hosts.slice(0, 16);
  clock.advance(100);
  ok(!owners.isEnabled());
});
