import { ok } from "node:assert";
import { test } from "node:test";
import type { Visibility } from "./warm_up_policies.ts";
import { simulateWarmUp } from "./warm_up_simulation.ts";

const limit = { durationMs: 3_000, requestsPerSecond: 9 };

function simulate(hosts: number, seed: number, visibility: Visibility) {
  return simulateWarmUp({
    hosts,
    seed,
    visibility,
    limit,
    policy: "drawn-first",
  });
}

for (const hosts of [74, 195, 390]) {
  test(`a returned data centre's cold upstreams keep their limit at ${hosts} hosts`, () => {
    // Guards against hosts that each count alone and crash the upstreams again.
    for (let seed = 1; seed <= 5; seed++) {
      const { worstSecond, usedShare } = simulate(hosts, seed, "whole");
      ok(worstSecond <= limit.requestsPerSecond, `${worstSecond}`);
      ok(usedShare > 0);
      const halves = simulate(hosts, seed, "halves");
      ok(halves.worstSecond <= limit.requestsPerSecond * 1.5);
    }
  });
}
