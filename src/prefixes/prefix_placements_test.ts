import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createLoneTree } from "../testing/aggregation_trees.ts";
import { getNameDigest } from "../peers/mod.ts";
import { createUpstreamEntry } from "../testing/routing_fixture.ts";
import { createPrefixPlacements } from "./prefix_placements.ts";

test("an upstream that has restarted or left holds nothing", () => {
  // Guards against sources that have lost what their former process had cached.
  const self = { peerAddress: "10.0.0.1:7400", dataCentre: "a" };
  const sources: string[] = [];
  const clock = createManualClock();
  const placements = createPrefixPlacements({
    clock,
    self,
    tree: createLoneTree(clock, self),
    getHosts: () => [self],
    getDigest: getNameDigest,
    onRecorded: (source) => void sources.push(source),
  });
  const prefix = placements.getPrefix("m/shared");
  const [one, two, three] = ["one", "two", "three"]
    .map((id) => createUpstreamEntry({ id }));
  for (const each of [one!, two!, three!]) placements.record(prefix, each);
  const restarted = { ...two!, incarnation: two!.incarnation + 1 };
  const ready = [one!, restarted];
  deepStrictEqual(placements.getHolders(prefix, ready), [
    { upstream: "one", ageMs: 0 },
  ]);
  const upstream = getNameDigest(`two/${restarted.incarnation}`);
  const report = {
    scope: "fleet",
    placements: [{ prefix, upstream }],
  } as const;
  placements.announcer.receive(report);
  placements.announcer.receive(report);
  deepStrictEqual(
    placements.getHolders(prefix, ready).map((each) => each.upstream),
    ["one", "two"],
  );
  deepStrictEqual(sources, ["own", "own", "own", "peer"]);
});
