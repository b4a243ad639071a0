import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import type { WaitingPrompt } from "./types.ts";
import { getWaitingLoads, type WaitingPart } from "./waiting_loads.ts";

function createPrompt(team: string, readingTokens: number): WaitingPrompt {
  const upstreams = [
    { upstream: "a", readingTokens },
    { upstream: "b", readingTokens: 2 * readingTokens },
  ];
  return { team, getUpstreams: () => upstreams } as unknown as WaitingPrompt;
}

test("waiting prompts count where they are preferred, those that need a grant for nobody", () => {
  // Guards against hosts that hold back for prompts which share no room with theirs.
  const prompts = [
    createPrompt("underserved", 4_000),
    createPrompt("underserved", 1_000),
    createPrompt("yielding", 3_000),
    createPrompt("yielding", 9_000),
    createPrompt("neither", 7_000),
  ];
  const loads = getWaitingLoads(prompts, {
    getPart: ({ team }) => team as WaitingPart,
    mayStartWithoutGrant: ({ readingTokens }) => readingTokens < 9_000,
  });
  deepStrictEqual([...loads], [["a", {
    underserved: 2,
    underservedTokens: 5_000,
    yieldingTokens: 3_000,
  }]]);
});
