/**
 * Tests that the gap between backlogged teams stays within the derived bound,
 * over time and after a network partition, with unevenly spread callers,
 * unequal weights, unknown costs and wrong cost hints. Also tests that a
 * request finds a free slot in time.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { CROSS_REGION_PENALTY_REQUESTS } from "../fleet/mod.ts";
import { createRouterPolicy } from "./baselines.ts";
import {
  createContendedFleet,
  createReferenceFleet,
  FLEET_SLOTS,
  LARGEST_COST,
  TEAM_WEIGHTS,
} from "./contended.ts";
import { defaultFixtureTimes, type FleetFixture } from "./fleet_fixture.ts";
import { createGapMeter, getGapBound } from "./gap.ts";
import { SERVICE } from "./workload.ts";

const HOSTS = 9;

const BOUND = getGapBound({
  weights: TEAM_WEIGHTS,
  largestCost: LARGEST_COST,
  slots: FLEET_SLOTS,
  servicePerSecond: FLEET_SLOTS * 1_000 / defaultFixtureTimes.tokenMs,
  lagSeconds: 3,
  crossRegionPenaltyRequests: CROSS_REGION_PENALTY_REQUESTS,
});

/**
 * Time until the gap is within the bound after a partition heals. The largest
 * difference that the counters keep, eight of the largest requests, is balanced
 * at the rate of one team's share, which takes at most 18 s.
 */
const HEALED_MS = 20_000;

function createFixture(seed: number, untilMs: number): FleetFixture {
  return createContendedFleet({
    seed,
    hosts: HOSTS,
    createPolicy: createRouterPolicy,
    untilMs,
  });
}

function measureGap(
  fixture: FleetFixture,
  { fromMs, toMs }: { fromMs: number; toMs: number },
): number {
  const meter = createGapMeter(fixture.deployment.teams);
  for (let ms = fromMs; ms <= toMs; ms += 500) {
    fixture.scheduler.runUntil(ms);
    meter.sample(fixture.getService(SERVICE));
  }
  return meter.getGap();
}

test("the gap of backlogged teams stays within the bound over time", () => {
  // Guards against a drift of the counters, with which one team gets a little
  // more service than a competing team in each minute.
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 10_000 }), (seed) => {
      const fixture = createFixture(seed, 60_000);
      const early = measureGap(fixture, { fromMs: 10_000, toMs: 30_000 });
      const whole = measureGap(fixture, { fromMs: 30_000, toMs: 60_000 });
      assert.ok(early <= BOUND, `gap ${early} over ${BOUND}`);
      assert.ok(whole <= BOUND, `gap ${whole} over ${BOUND}`);
    }),
    { numRuns: 2 },
  );
});

test("the gap is within the bound 20 s after a partition of any length", () => {
  // Guards against counters that keep the whole difference of a long partition:
  // when the partition heals, the teams of one region would wait until, for
  // example, the difference of an hour is balanced.
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 10_000 }),
      fc.integer({ min: 1_000, max: 30_000 }),
      (seed, cutMs) => {
        const healMs = 15_000 + cutMs;
        const fromMs = healMs + HEALED_MS;
        const fixture = createFixture(seed, fromMs + 20_000);
        fixture.scheduler.runUntil(15_000);
        fixture.setPartitioned(true);
        fixture.scheduler.runUntil(healMs);
        fixture.setPartitioned(false);
        const gap = measureGap(fixture, { fromMs, toMs: fromMs + 20_000 });
        assert.ok(gap <= BOUND, `gap ${gap} over ${BOUND}`);
      },
    ),
    { numRuns: 2 },
  );
});

test("a request gets the one free slot of its region within 250 ms", () => {
  // Guards against a caller that waits although an engine has a free slot,
  // because the owners that its host asks first have none.
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 10_000 }),
      fc.nat(HOSTS - 1),
      (seed, at) => {
        const fixture = createReferenceFleet({
          seed,
          hosts: HOSTS,
          createPolicy: createRouterPolicy,
        });
        fixture.scheduler.runUntil(1_000);
        const region = (dataCentre: string) =>
          fixture.deployment.dataCentres
            .find((each) => each.id === dataCentre)!.region;
        const host = fixture.hosts[at]!;
        const inRegion = fixture.hosts.filter((each) =>
          region(each.dataCentre) === region(host.dataCentre)
        );
        for (let made = 0; made < FLEET_SLOTS / 2 - 1; made++) {
          const from = inRegion[made % inRegion.length]!;
          from.submit({ team: "team-1", service: SERVICE, cost: 1_000 });
        }
        fixture.scheduler.runUntil(3_000);
        const req = host.submit({ team: "team-2", service: SERVICE, cost: 1 });
        fixture.scheduler.runUntil(3_250);
        assert.notEqual(req.state, "waiting");
        const used = fixture.deployment.upstreams
          .find((each) => each.id === req.upstream)!;
        assert.equal(region(used.dataCentre), region(host.dataCentre));
      },
    ),
    { numRuns: 20 },
  );
});
