/**
 * Compares the team queues with a plain list as the reference.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { AdmittedRequest } from "../types.ts";
import { createTeamQueues } from "./team_queue.ts";

function createRequest(id: number, team: string): AdmittedRequest {
  return {
    id: String(id),
    team,
    service: "drafting-model",
    operation: "draft",
    arrivedMs: id,
    deadlineMs: 1e6,
    expectedCost: 1,
    fingerprint: "",
  };
}

test("requests keep their order of arrival under any adds, takes and removals", () => {
  const step = fc.record({
    kind: fc.constantFrom("add", "take", "remove"),
    team: fc.constantFrom("alder", "birch"),
    at: fc.nat(20),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
    const queues = createTeamQueues<string>();
    let expected: AdmittedRequest[] = [];
    steps.forEach(({ kind, team, at }, id) => {
      if (kind === "add") {
        const req = createRequest(id, team);
        queues.add({ req, start() {} });
        expected.push(req);
      } else if (kind === "take") {
        const first = expected.find((each) => each.team === team);
        assert.equal(queues.tryTake(team)?.req, first);
        expected = expected.filter((each) => each !== first);
      } else {
        const removed = expected[at];
        if (removed === undefined) return;
        assert.equal(queues.remove(removed), true);
        assert.equal(queues.remove(removed), false);
        expected = expected.filter((each) => each !== removed);
      }
      assert.equal(queues.getTotal(), expected.length);
      assert.equal(queues.tryGetOldestArrivalMs(), expected[0]?.arrivedMs);
      for (const name of ["alder", "birch"]) {
        const count = expected.filter((each) => each.team === name).length;
        assert.equal(queues.getCount(name), count);
        assert.equal(queues.getCounts().get(name) ?? 0, count);
      }
    });
  }));
});
