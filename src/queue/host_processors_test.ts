import { ok } from "node:assert";
import { test } from "node:test";
import {
  createShapes,
  getNear,
  getShares,
  simulateLargeFleet,
} from "../testing/large_fleet.ts";

/** Teams whose callers keep to one host each. */
const oneHostTeams = [
  { asked: 0.54, hosts: getNear(5, 1), prefixes: 25 },
  { asked: 0.4, hosts: getNear(4, 1), prefixes: 22 },
];

/** Returns the shares of all teams beside a flood, those of one host last. */
function simulateFlood(coreShare: number, seed: number): readonly number[] {
  const shapes = [...createShapes(6), ...oneHostTeams];
  return getShares(simulateLargeFleet(shapes, { seed, coreShare }));
}

function assertAtLeast(shares: readonly number[], least: number): void {
  ok(
    Math.min(...shares) >= least,
    shares.map((each) => each.toFixed(2)).join(),
  );
}

test("a team at one host gets what its callers ask while its neighbours are busy with a flood", () => {
  // Guards against a full host whose connections no neighbour takes, since all are above a fixed utilization.
  for (const seed of [1, 2]) {
    const shares = simulateFlood(0.15, seed);
    assertAtLeast(shares.slice(-oneHostTeams.length), 0.9);
  }
});

test("beside a flood that takes the hosts' processors all other teams get what their callers ask", () => {
  // Guards against processor time that goes to a flood while other teams' connections aren't accepted.
  for (const seed of [1, 2]) assertAtLeast(simulateFlood(0.2, seed), 0.9);
});
