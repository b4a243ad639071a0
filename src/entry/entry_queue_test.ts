import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import type { UpstreamEntry } from "../discovery/mod.ts";
import { createLoadView } from "../load/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import { createUnneededGrants } from "../testing/fake_grants.ts";
import { createEntryQueue } from "./entry_queue.ts";

const upstream = { id: "a", slots: 48 } as UpstreamEntry;

/** Creates a queue for one idle upstream, without grants. */
function createFixture() {
  const clock = createManualClock(1_000);
  const load = createLoadView({
    clock,
    getDigest: getNameDigest,
    isAlive: () => true,
    getStatedCapacity: () => 0,
    getLearned: () => [],
  });
  const queue = createEntryQueue({
    clock,
    load,
    grants: createUnneededGrants(false),
    tryGetUpstream: () => upstream,
    getWarmUpAllowance: () => "unlimited",
    getLimitTokens: () => 15_000,
    getProcessorUse: () => ({ utilization: 0, isShort: false }),
    random: () => 0.5,
  });
  return {
    load,
    start(isRepeated: boolean): void {
      queue.add({
        request: "r-1",
        team: "team",
        service: "model",
        route: "drafts",
        arrivedMs: clock.monotonicMs(),
        targetMs: 800,
        serviceTokens: 9_000,
        workTokens: 9_000,
        isBegun: false,
        isRepeated,
        getUpstreams: () => [{ upstream: "a", readingTokens: 2_000 }],
        isCallerConnected: () => true,
        start() {},
        refuse() {},
      });
    },
  };
}

test("a request that is tried again counts once as service of its team", () => {
  // Guards against a team that counts as served for what crashed upstreams lost.
  const { load, start } = createFixture();
  load.recordAsked("team", 9_000);
  start(false);
  start(true);
  deepStrictEqual(load.takeDueServiceTotals(), [
    { team: "team", asked: 9_000, begun: 9_000, repeated: 9_000, answered: 0 },
  ]);
  const { asked, begun } = load.getServiceRates("team");
  deepStrictEqual(begun, asked);
});
