import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { rankByLoad } from "./least_loaded.ts";
import { getAffinityKey, putFirst, rankByAffinity } from "./prefix_affinity.ts";

const upstreams = Array.from({ length: 8 }, (_, at) => ({ id: `up-${at}` }));

test("prompts that differ only in their last part go to the same upstream", () => {
  const first = getAffinityKey("m", [{ id: "site" }, { id: "own-1" }]);
  const second = getAffinityKey("m", [{ id: "site" }, { id: "own-2" }]);
  deepStrictEqual(
    rankByAffinity(first, upstreams),
    rankByAffinity(second, upstreams),
  );
});

test("a first part that all prompts share does not send them all to one upstream", () => {
  // All summaries begin with one of four texts, followed by one of 47 sessions.
  // If the first part decided, all summaries would go to four upstreams, or to
  // fewer when two texts map to the same one, while others are idle.
  const firsts = new Set<string>();
  for (let session = 0; session < 47; session++) {
    const parts = [{ id: "text" }, { id: `session-${session}` }, { id: "own" }];
    const [first] = rankByAffinity(getAffinityKey("m", parts), upstreams);
    firsts.add(first!);
  }
  strictEqual(firsts.size, upstreams.length);
});

test("removing an upstream moves its own prompts and no others", () => {
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

test("a call goes to the least loaded upstream, and among equals to the nearest", () => {
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

test("a prompt with a small shared prefix stays in its caller's region", () => {
  // Responses of fifty events would be sent over the link between regions
  // although upstreams in the caller's region could have prefilled the prompt
  // as well.
  const isSameRegion = (id: string) => id === "up-1" || id === "up-3";
  deepStrictEqual(
    putFirst(["up-0", "up-1", "up-2", "up-3"], isSameRegion),
    ["up-1", "up-3", "up-0", "up-2"],
  );
});
