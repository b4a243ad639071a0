import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import {
  type PrefixTerms,
  type PromptRankingInput,
  rankForPrompt,
} from "./prompt_ranking.ts";

const short: PromptRankingInput = {
  ranked: ["far", "near", "cold"],
  unsharedTokens: 1_000,
  totalTokens: 1_400,
  isNear: (id) => id !== "far",
  isColdAndDue: (id) => id === "cold",
};

const long: PromptRankingInput = { ...short, totalTokens: 18_000 };

test("a prompt with a short shared prefix goes to a cold upstream while a request is due there", () => {
  // Guards against upstreams that stay idle until they are warm while all others
  // are overloaded.
  deepStrictEqual(rankForPrompt(short), [
    { upstream: "cold", readingTokens: 1_400 },
    { upstream: "near", readingTokens: 1_000 },
    { upstream: "far", readingTokens: 1_400 },
  ]);
  const nothingDue = { ...short, isColdAndDue: () => false };
  deepStrictEqual(rankForPrompt(nothingDue).map((each) => each.upstream), [
    "near",
    "cold",
    "far",
  ]);
});

test("a prompt with a long shared prefix keeps to the upstream that has it cached", () => {
  deepStrictEqual(rankForPrompt(long), [
    { upstream: "far", readingTokens: 1_000 },
    { upstream: "near", readingTokens: 18_000 },
    { upstream: "cold", readingTokens: 18_000 },
  ]);
});

/** Terms under which these upstreams have held the prefix for a second. */
function createTerms(...holders: readonly string[]): PrefixTerms {
  return {
    holders: holders.map((upstream) => ({ upstream, ageMs: 1_000 })),
    fetchTokens: 500,
    mayBeSource: () => true,
  };
}

test("a prefix that no upstream is known to hold is counted in full at each", () => {
  // Guards against upstreams that get more work than their limit allows.
  const prefix = createTerms();
  deepStrictEqual(
    rankForPrompt({ ...long, prefix }),
    ["far", "near", "cold"].map((upstream) => ({
      upstream,
      readingTokens: 18_000,
      fetch: undefined,
      prefix: "read",
    })),
  );
});

test("an upstream that holds the prefix goes before the first of the ranking, which may fetch from it", () => {
  // Guards against the repeated prefill of a prefix whose first prompt went to
  // another upstream.
  const prefix = createTerms("cold");
  const fetch = { source: "cold", tokens: 500, reason: "copy" } as const;
  deepStrictEqual(rankForPrompt({ ...long, prefix }), [
    {
      upstream: "cold",
      readingTokens: 1_000,
      fetch: undefined,
      prefix: "held",
    },
    { upstream: "far", readingTokens: 1_500, fetch, prefix: "fetched" },
    { upstream: "near", readingTokens: 1_500, fetch, prefix: "fetched" },
  ]);
  const slowLink = { ...prefix, fetchTokens: undefined };
  deepStrictEqual(
    rankForPrompt({ ...long, prefix: slowLink }).map((each) => each.prefix),
    ["held", "read", "read"],
  );
});

test("without knowledge of holders, or with a short prefix, the ranking does not depend on them", () => {
  // Guards against a change for deployments that state no transfer rate.
  const ids = fc.uniqueArray(fc.string({ minLength: 1 }), { maxLength: 8 });
  const tokens = fc.integer({ min: 0, max: 20_000 });
  const inputs = fc.record({ ranked: ids, own: tokens, shared: tokens });
  fc.assert(fc.property(inputs, fc.nat(), ({ ranked, own, shared }, salt) => {
    const input: PromptRankingInput = {
      ranked,
      unsharedTokens: own,
      totalTokens: own + shared,
      isNear: (id) => (id.length + salt) % 2 === 0,
      isColdAndDue: (id) => (id.length + salt) % 3 === 0,
    };
    const without = rankForPrompt(input);
    if (shared <= 1_400) {
      const prefix = createTerms(...ranked.slice(1));
      deepStrictEqual(rankForPrompt({ ...input, prefix }), without);
      return;
    }
    deepStrictEqual(
      without,
      ranked.map((upstream, at) => ({
        upstream,
        readingTokens: at === 0 ? own : own + shared,
      })),
    );
  }));
});
