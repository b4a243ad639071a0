import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { type PromptRankingInput, rankForPrompt } from "./prompt_ranking.ts";

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
