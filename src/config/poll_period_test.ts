/**
 * Tests of the rate at which a fleet of 390 hosts polls the store.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { getPollMs, type PollInput } from "./poll_period.ts";

const settled: PollInput = {
  hasVersion: true,
  isDesignatedPoller: false,
  sinceLastPeerMs: 100,
  random: 0,
};

function getReadsPerSecond(hosts: readonly PollInput[]): number {
  return hosts.reduce((sum, host) => sum + 1_000 / getPollMs(host), 0);
}

test("390 hosts of six data centres read about 1% of the store's rate", () => {
  // All hosts reach one another. The jitter gives the shortest periods.
  const hosts = Array.from({ length: 390 }, (_, index) => ({
    ...settled,
    isDesignatedPoller: index < 6,
    random: 1,
  }));
  const reads = getReadsPerSecond(hosts);
  assert(reads < 0.011 * 2_000, `${reads} reads a second`);
});

test("390 hosts that are cut off from each other stay within the store's rate", () => {
  // The network between the hosts fails while each reaches the store. All poll
  // frequently, and a version is still in force within 7 s.
  const hosts = Array.from({ length: 390 }, () => ({
    ...settled,
    sinceLastPeerMs: 60_000,
    random: 1,
  }));
  assert(getReadsPerSecond(hosts) < 0.15 * 2_000);
  assert(getPollMs({ ...settled, sinceLastPeerMs: 60_000 }) < 7_000 / 2);
});

test("390 hosts that start together stay within the store's rate", () => {
  const hosts = Array.from({ length: 390 }, () => ({
    ...settled,
    hasVersion: false,
    random: 1,
  }));
  assert(getReadsPerSecond(hosts) < 0.3 * 2_000);
});
