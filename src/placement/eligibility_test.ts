import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import {
  selectEligible,
  tryGetExclusion,
  type UpstreamFacts,
} from "./eligibility.ts";

const usable: UpstreamFacts = {
  isReady: true,
  region: "lagos",
  isEvacuated: false,
  isOtherVersion: false,
  wasTried: false,
  backoffMs: 0,
  warmUp: "unlimited",
};

const anyRules = { allowedRegions: undefined, mayWait: true };

const facts = fc.record<UpstreamFacts>({
  isReady: fc.boolean(),
  region: fc.constantFrom("lagos", "abuja", undefined),
  isEvacuated: fc.boolean(),
  isOtherVersion: fc.boolean(),
  wasTried: fc.boolean(),
  backoffMs: fc.constantFrom(0, 500),
  warmUp: fc.constantFrom("unlimited", "now", "later", "none"),
});

const rules = fc.record({
  allowedRegions: fc.option(
    fc.uniqueArray(fc.constantFrom("lagos", "abuja")).map((each) =>
      new Set<string>(each)
    ),
    { nil: undefined },
  ),
  mayWait: fc.boolean(),
});

test("an upstream that may be used is ready, allowed, not evacuated, of the stream's version, not tried, open and due", () => {
  fc.assert(
    fc.property(facts, rules, (upstream, { allowedRegions, mayWait }) => {
      const mayBeUsed =
        tryGetExclusion(upstream, { allowedRegions, mayWait }) === undefined;
      const isAllowed = allowedRegions === undefined ||
        allowedRegions.has(upstream.region ?? "");
      const isDue = upstream.warmUp === "unlimited" ||
        upstream.warmUp === "now" || (upstream.warmUp === "later" && mayWait);
      strictEqual(
        mayBeUsed,
        upstream.isReady && isAllowed && !upstream.isEvacuated &&
          !upstream.isOtherVersion &&
          !upstream.wasTried && upstream.backoffMs === 0 && isDue,
      );
    }),
  );
});

test("each upstream is eligible or excluded for one reason", () => {
  fc.assert(fc.property(fc.array(facts), rules, (upstreams, given) => {
    const { eligible, excluded } = selectEligible(
      upstreams,
      (each) => each,
      given,
    );
    const divided = [...eligible, ...[...excluded.values()].flat()];
    strictEqual(divided.length, upstreams.length);
    strictEqual(new Set(divided).size, new Set(upstreams).size);
  }));
});

test("the reason that lasts longest is named first", () => {
  const all: UpstreamFacts = {
    ...usable,
    isEvacuated: true,
    wasTried: true,
    backoffMs: 500,
    warmUp: "none",
  };
  const inAbuja = { allowedRegions: new Set(["abuja"]), mayWait: true };
  deepStrictEqual([
    tryGetExclusion({ ...all, isReady: false }, inAbuja),
    tryGetExclusion(all, inAbuja),
    tryGetExclusion(all, anyRules),
    tryGetExclusion({ ...all, isEvacuated: false }, anyRules),
  ], ["gone", "region", "evacuated", "back-off"]);
});
