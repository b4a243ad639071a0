import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { rankByLoad } from "./least_loaded.ts";
import {
  getAffinityKey,
  putSameRegionFirst,
  rankByAffinity,
} from "./prefix_affinity.ts";

const upstreams = Array.from({ length: 8 }, (_, at) => ({ id: `up-${at}` }));

test("prompts that share all but their own part go to the same upstream", () => {
  const first = getAffinityKey("m", [{ id: "site" }, { id: "own-1" }]);
  const second = getAffinityKey("m", [{ id: "site" }, { id: "own-2" }]);
  deepStrictEqual(
    rankByAffinity(first, upstreams),
    rankByAffinity(second, upstreams),
  );
});

test("a first part that everybody shares does not gather all at one upstream", () => {
  // Four texts begin all summaries, behind them stands one of 47 sessions. Placed
  // by the first part, all summaries were at four upstreams, two at times at one,
  // while others idled.
  const firsts = new Set<string>();
  for (let session = 0; session < 47; session++) {
    const parts = [{ id: "text" }, { id: `session-${session}` }, { id: "own" }];
    const [first] = rankByAffinity(getAffinityKey("m", parts), upstreams);
    firsts.add(first!);
  }
  strictEqual(firsts.size, upstreams.length);
});

test("an upstream that goes moves its own prompts and no others", () => {
  let moved = 0;
  for (let part = 0; part < 400; part++) {
    const key = getAffinityKey("m", [{ id: `part-${part}` }]);
    const [before] = rankByAffinity(key, upstreams);
    const [after] = rankByAffinity(key, upstreams.slice(1));
    if (before !== after) moved++;
    strictEqual(before === "up-0", before !== after);
  }
  ok(moved > 20 && moved < 90);
});

test("a call goes to the least busy upstream, and of equals to the nearest", () => {
  const near = "same-data-centre" as const;
  const far = "other-region" as const;
  deepStrictEqual(
    rankByLoad([
      { id: "far", slots: 6, inFlight: 0, distance: far },
      { id: "near", slots: 6, inFlight: 1, distance: near },
      { id: "busy", slots: 6, inFlight: 5, distance: near },
    ]),
    ["near", "far", "busy"],
  );
});

test("with little to share an answer stays in its caller's region", () => {
  // Answers of fifty events are sent back over the link between regions, though
  // upstreams of the caller's region could have read the prompt as well.
  const isNear = (id: string) => id === "up-1" || id === "up-3";
  deepStrictEqual(
    putSameRegionFirst(["up-0", "up-1", "up-2", "up-3"], isNear),
    ["up-1", "up-3", "up-0", "up-2"],
  );
});
