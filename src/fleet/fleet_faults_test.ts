/**
 * Tests of slots under random faults: after hosts die, pause, restart or are
 * cut off, the fleet grants every slot again, and only once.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  createFleetFixture,
  defaultFixtureTimes,
  type FixtureRequest,
  type FleetFixture,
} from "../measure/fleet_fixture.ts";
import { createDeployment, SERVICE } from "../measure/workload.ts";

const HOSTS = 6;
const SLOTS = 3;
const DETECTION_MS = 3_000;
/**
 * Time after the last fault for detection, takeover and the longest request.
 */
const RECOVERY_MS = 20_000;

function createFixture(seed: number): FleetFixture {
  const deployment = createDeployment({
    regions: 2,
    dataCentresPerRegion: 1,
    upstreams: 4,
    slotsPerUpstream: SLOTS,
    weights: [2, 1, 1],
    expectedCost: 20,
  });
  return createFleetFixture({
    ...defaultFixtureTimes,
    deployment,
    hosts: HOSTS,
    seed,
  });
}

type Fault =
  | { readonly kind: "submit"; readonly host: number; readonly count: number }
  | { readonly kind: "kill-restart"; readonly host: number }
  | { readonly kind: "quick-restart"; readonly host: number }
  | { readonly kind: "pause"; readonly host: number }
  | { readonly kind: "break-links"; readonly host: number }
  | { readonly kind: "cut"; readonly forMs: number };

const host = fc.integer({ min: 0, max: HOSTS - 1 });
const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant("submit" as const),
    host,
    count: fc.integer({ min: 1, max: 20 }),
  }),
  fc.record({ kind: fc.constant("kill-restart" as const), host }),
  fc.record({ kind: fc.constant("quick-restart" as const), host }),
  fc.record({ kind: fc.constant("pause" as const), host }),
  fc.record({ kind: fc.constant("break-links" as const), host }),
  fc.record({
    kind: fc.constant("cut" as const),
    forMs: fc.integer({ min: 1, max: 20_000 }),
  }),
);

function submit(
  fixture: FleetFixture,
  at: number,
  { count, cost }: { count: number; cost: number },
): void {
  const target = fixture.hosts[at]!;
  if (!target.isUp()) return;
  for (let made = 0; made < count; made++) {
    const team = `team-${made % 3 + 1}`;
    target.submit({ team, service: SERVICE, cost: cost + made });
  }
}

function apply(
  fixture: FleetFixture,
  each: Fault,
  restarted: Set<string>,
): void {
  const { scheduler } = fixture;
  if (each.kind === "cut") {
    fixture.setPartitioned(true);
    scheduler.after(each.forMs, () => fixture.setPartitioned(false));
    return;
  }
  const id = fixture.hosts[each.host]!.id;
  if (each.kind === "submit") {
    submit(fixture, each.host, { count: each.count, cost: 5 });
  }
  if (!fixture.hosts[each.host]!.isUp()) return;
  if (each.kind === "kill-restart") {
    restarted.add(id);
    fixture.kill(id, DETECTION_MS);
    scheduler.after(5_000, () => fixture.restart(id, 500));
  } else if (each.kind === "quick-restart") {
    restarted.add(id);
    fixture.kill(id, DETECTION_MS);
    scheduler.after(100, () => fixture.restart(id, 500));
  } else if (each.kind === "pause") {
    fixture.pause(id, { forMs: 30_000, detectionMs: DETECTION_MS });
  } else if (each.kind === "break-links") {
    fixture.breakLinks(id);
  }
}

function getInFlight(fixture: FleetFixture): readonly number[] {
  return fixture.deployment.upstreams.map((each) =>
    fixture.getUpstream(each.id).getInFlight()
  );
}

function isOpen(req: FixtureRequest): boolean {
  return req.state === "waiting" || req.state === "running";
}

test("after any faults every slot is granted again, and only once", () => {
  // Guards against an owner and a holder that disagree for good about who has
  // which slot, after a host died, was paused for 30 s, restarted without
  // state, or lost its links or its region. The engines would stay idle or
  // overloaded.
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 1_000 }),
      fc.array(fc.tuple(fault, fc.integer({ min: 0, max: 3_000 })), {
        maxLength: 12,
      }),
      (seed, faults) => {
        const fixture = createFixture(seed);
        const { scheduler } = fixture;
        const restarted = new Set<string>();
        let nowMs = 1_000;
        scheduler.runUntil(nowMs);
        for (const [each, pauseMs] of faults) {
          apply(fixture, each, restarted);
          nowMs += pauseMs;
          scheduler.runUntil(nowMs);
        }
        nowMs += 35_000 + RECOVERY_MS;
        scheduler.runUntil(nowMs);
        const unfinished = fixture.getRequests().filter((req) =>
          isOpen(req) && !restarted.has(req.host)
        );
        assert.deepEqual(
          unfinished.map((req) => req.id),
          [],
          "requests never ended",
        );
        assert.deepEqual(getInFlight(fixture), [0, 0, 0, 0]);
        for (const each of fixture.hosts) {
          for (const owned of each.fleet.getOwned()) {
            assert.equal(
              owned.inUse,
              0,
              `slots of ${owned.upstream} still in use`,
            );
            assert.equal(
              owned.waiting,
              0,
              `wants of ${owned.upstream} still waiting`,
            );
          }
        }
        for (let at = 0; at < HOSTS; at++) {
          submit(fixture, at, { count: 20, cost: 200 });
        }
        scheduler.runUntil(nowMs + 2_000);
        assert.deepEqual(getInFlight(fixture), [SLOTS, SLOTS, SLOTS, SLOTS]);
      },
    ),
    { numRuns: 25, includeErrorInReport: true },
  );
});
