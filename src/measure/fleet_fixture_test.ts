/**
 * Tests that the fleet fixture serves requests from arrival to answer.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleetFixture, defaultFixtureTimes } from "./fleet_fixture.ts";
import { createDeployment, SERVICE } from "./workload.ts";

test("a request gets a slot of an upstream that another host owns", () => {
  const deployment = createDeployment({
    regions: 2,
    dataCentresPerRegion: 1,
    upstreams: 2,
    slotsPerUpstream: 2,
    weights: [1, 1],
    expectedCost: 10,
  });
  const fixture = createFleetFixture({
    ...defaultFixtureTimes,
    deployment,
    hosts: 4,
  });
  fixture.scheduler.runUntil(1_000);
  for (const host of fixture.hosts) {
    host.submit({ team: "team-1", service: SERVICE, cost: 10 });
  }
  fixture.scheduler.runUntil(10_000);
  const states = fixture.getRequests().map((each) => each.state);
  assert.deepEqual(states, Array(4).fill("answered"));
  assert.equal(fixture.getService(SERVICE).get("team-1"), 40);
  assert.ok(fixture.getControlTraffic().bytes > 0);
});
