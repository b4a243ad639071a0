import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import { intersectRegions } from "./allowed_regions.ts";

const regionLists = fc.array(
  fc.uniqueArray(fc.constantFrom<string>("lagos", "abuja", "kano", "other")),
  { maxLength: 4 },
);

test("a region is allowed if no list that binds leaves it out", () => {
  fc.assert(fc.property(regionLists, (lists) => {
    const allowed = intersectRegions(lists);
    for (const region of ["lagos", "abuja", "kano"]) {
      const isAllowed = lists.every((list) =>
        list.length === 0 || list.includes(region)
      );
      strictEqual(allowed === undefined || allowed.has(region), isAllowed);
    }
  }));
});

test("lists without a common region allow none, and empty lists allow all", () => {
  deepStrictEqual(intersectRegions([["lagos"], ["abuja"]]), new Set());
  strictEqual(intersectRegions([[], []]), undefined);
});
