import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createServiceTotals } from "./service_totals.ts";

test("the totals of the teams that asked for most are logged once a second", () => {
  // Guards against a line for every team of a fleet with hundreds of them.
  const totals = createServiceTotals();
  for (let at = 1; at <= 12; at++) totals.recordAsked(`team-${at}`, at);
  totals.recordBegun("team-12", 5);
  totals.recordRepeated("team-12", 2);
  totals.recordAnswered("team-12", 4);
  const first = totals.takeDue(0);
  deepStrictEqual(first.length, 8);
  deepStrictEqual(first[0], {
    team: "team-12",
    asked: 12,
    begun: 5,
    repeated: 2,
    answered: 4,
  });
  totals.recordAsked("team-1", 3);
  deepStrictEqual(totals.takeDue(999), []);
  deepStrictEqual(totals.takeDue(1_000), [
    { team: "team-1", asked: 4, begun: 0, repeated: 0, answered: 0 },
  ]);
});
