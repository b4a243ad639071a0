/**
 * Tests of the choice of owners by rendezvous hashing.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { tryGetOwner } from "./rendezvous.ts";

function getNames(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, at) => `${prefix}-${at + 1}`);
}

test("owners are evenly distributed, and a lost host moves only its own keys", () => {
  const hosts = getNames("entry", 65);
  const keys = getNames("slots/engine", 6_500);
  const counts = new Map<string, number>();
  for (const key of keys) {
    const owner = tryGetOwner(key, hosts)!;
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
    const left = hosts.filter((host) => host !== "entry-7");
    const next = tryGetOwner(key, left)!;
    if (owner !== "entry-7") assert.equal(next, owner);
  }
  for (const host of hosts) {
    const count = counts.get(host) ?? 0;
    assert.ok(count > 50 && count < 160, `${host} owns ${count}`);
  }
});

test("the owner does not depend on the order of the candidates", () => {
  const hosts = getNames("entry", 40);
  for (const key of getNames("slots/engine", 200)) {
    const reversed = [...hosts].reverse();
    assert.equal(tryGetOwner(key, hosts), tryGetOwner(key, reversed));
  }
  assert.equal(tryGetOwner("slots/engine-1", []), undefined);
});
