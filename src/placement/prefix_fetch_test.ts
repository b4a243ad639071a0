import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import {
  createFetchDecision,
  type FetchCostInput,
  getTransferMs,
  tryGetFetchTokens,
} from "./prefix_fetch.ts";

/** A prefix of 8,000 tokens, of 40 kB each, over a link of 100 Gbit/s. */
const input: FetchCostInput = {
  transfer: { bytesPerToken: 40_000, megabitsPerSecond: 100_000 },
  readyUpstreams: 16,
  prefixTokens: 8_000,
  prefixPrefillTokens: 8_800,
  msPerPrefillToken: 0.02,
};

test("a prefix is fetched only if that takes at most half as long as its prefill", () => {
  // Guards against a slow link, over which prompts wait longer than they would
  // for the prefill.
  strictEqual(getTransferMs(8_000, input.transfer!), 25.6);
  strictEqual(tryGetFetchTokens(input), 1_280);
  const withLink = (megabitsPerSecond: number) =>
    tryGetFetchTokens({
      ...input,
      transfer: { ...input.transfer!, megabitsPerSecond },
    });
  strictEqual(withLink(30_000), 4_267);
  strictEqual(withLink(29_000), undefined);
  strictEqual(tryGetFetchTokens({ ...input, prefixTokens: NaN }), undefined);
});

test("without a stated link, or with few upstreams, nothing is fetched", () => {
  // Guards against copies that evict each other from a few upstreams.
  const few = { ...input, readyUpstreams: 15 };
  strictEqual(tryGetFetchTokens(few), undefined);
  strictEqual(tryGetFetchTokens({ ...input, transfer: undefined }), undefined);
});

test("a fetch costs no less with more tokens, or over a slower link", () => {
  const positive = fc.integer({ min: 1, max: 1_000_000 });
  fc.assert(fc.property(positive, positive, positive, (a, b, rate) => {
    const [least, most] = a < b ? [a, b] : [b, a];
    const getTokens = (prefixTokens: number, megabitsPerSecond: number) =>
      tryGetFetchTokens({
        ...input,
        transfer: { bytesPerToken: 1_000, megabitsPerSecond },
        prefixTokens,
        prefixPrefillTokens: Infinity,
      })!;
    ok(getTokens(least, rate) <= getTokens(most, rate));
    ok(getTokens(rate, most) <= getTokens(rate, least));
  }));
});

test("the source is the first usable holder, and there are at most three copies", () => {
  // Guards against fetches from upstreams that are about to end or have not
  // prefilled the prefix yet, and against more than three deliberate copies.
  const getFetches = (
    { holders, usable }: { readonly holders: string; readonly usable: string },
  ) => {
    const tryGet = createFetchDecision({
      // A capital letter is a holder that has just got its first prompt.
      holders: [...holders].map((each) => ({
        upstream: each.toLowerCase(),
        ageMs: each === each.toLowerCase() ? 300 : 299,
      })),
      fetchTokens: 1,
      mayBeSource: (id) => usable.includes(id),
    });
    return [0, 1, 2].map(tryGet)
      .map((fetch) => fetch && `${fetch.source} ${fetch.reason}`);
  };
  const none = [undefined, undefined, undefined];
  const all = "abcd";
  deepStrictEqual(getFetches({ holders: "", usable: all }), none);
  deepStrictEqual(getFetches({ holders: "A", usable: all }), none);
  deepStrictEqual(getFetches({ holders: "a", usable: "bcd" }), none);
  deepStrictEqual(getFetches({ holders: "a", usable: all }), [
    "a copy",
    "a copy",
    "a spillover",
  ]);
  deepStrictEqual(getFetches({ holders: "ab", usable: "bcd" }), [
    "b copy",
    "b copy",
    "b spillover",
  ]);
  deepStrictEqual(getFetches({ holders: "Abcd", usable: all }), [
    "b spillover",
    "b spillover",
    "b spillover",
  ]);
});
