/**
 * Tests of the choice of owners by rendezvous hashing.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  rankByRendezvous,
  rankByWeightedRendezvous,
  tryGetOwner,
} from "./rendezvous.ts";

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

test("candidates own keys in proportion to their weights", () => {
  const weights = [0.5, 1, 1, 2, 1.414];
  const candidates = weights.map((weight, at) => ({ id: `up-${at}`, weight }));
  const total = weights.reduce((sum, each) => sum + each, 0);
  const counts = new Map<string, number>();
  const keys = getNames("prefix", 40_000);
  for (const key of keys) {
    const [first] = rankByWeightedRendezvous(key, candidates);
    counts.set(first!, (counts.get(first!) ?? 0) + 1);
  }
  for (const { id, weight } of candidates) {
    const share = (counts.get(id) ?? 0) / keys.length;
    const ratio = share / (weight / total);
    assert.ok(ratio > 0.95 && ratio < 1.05, `${id}: ${ratio}`);
  }
});

const anyKey = fc.string();
const anyIds = fc.uniqueArray(fc.string(), { minLength: 1, maxLength: 20 });
const anyWeight = fc.constantFrom(0.5, Math.SQRT1_2, 1, Math.SQRT2, 2);

test("with equal weights, the ranking is the one without weights", () => {
  // Guards against deployments with upstreams alike whose prefixes move.
  fc.assert(fc.property(anyKey, anyIds, anyWeight, (key, ids, weight) => {
    assert.deepEqual(
      rankByWeightedRendezvous(key, ids.map((id) => ({ id, weight }))),
      rankByRendezvous(key, ids),
    );
  }));
});

test("a change of one weight moves only keys from or to that candidate", () => {
  fc.assert(fc.property(
    fc.array(anyKey, { maxLength: 20 }),
    anyIds,
    fc.infiniteStream(anyWeight),
    anyWeight,
    (keys, ids, weights, changed) => {
      const before = ids.map((id) => ({ id, weight: weights.next().value! }));
      const [first, ...others] = before;
      const after = [{ ...first!, weight: changed }, ...others];
      const withoutFirst = (key: string, all: typeof before) =>
        rankByWeightedRendezvous(key, all).filter((id) => id !== first!.id);
      for (const key of keys) {
        assert.deepEqual(withoutFirst(key, after), withoutFirst(key, before));
      }
    },
  ));
});
