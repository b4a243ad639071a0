import { ok } from "node:assert";
import { test } from "node:test";
import {
  type PromptCounts,
  simulateSharedUpstreams,
} from "../measure/shared_upstreams.ts";

function getShares(teams: readonly PromptCounts[]): readonly number[] {
  return teams.map((each) => each.share);
}

function getRatio(shares: readonly number[]): number {
  return Math.min(...shares) / Math.max(...shares);
}

test("a team whose only host sees answers pause gets as much as the others", () => {
  // Guards against hosts that each learn a prefill limit from their own answers
  // only. Such limits differ widely, and the host with the highest one takes
  // all of an upstream's capacity, which the hosts share.
  for (const demandFactor of [1.2, 2]) {
    const shares = getShares(simulateSharedUpstreams({
      demandFactor,
      promptTokens: 2_800,
      teams: [{ hosts: [0] }, { hosts: [1] }],
      lateShares: [0.2, 0],
    }));
    ok(getRatio(shares) >= 0.8, `${shares} at ${demandFactor}`);
  }
});

test("a team with one host gets over half of what a team with six hosts gets", () => {
  // Where an upstream prefills hardly more than one prompt at a time, hosts
  // race for each upstream that becomes free. Six hosts win six races of seven,
  // whatever teams they serve.
  for (const promptTokens of [2_800, 8_000, 17_000]) {
    for (const demandFactor of [2, 4]) {
      const shares = getShares(simulateSharedUpstreams({
        demandFactor,
        promptTokens,
        teams: [{ hosts: [0] }, { hosts: [1, 2, 3, 4, 5, 6] }],
        lateShares: Array.from({ length: 7 }, () => 0.3),
      }));
      const what = `${shares} of ${promptTokens} tokens at ${demandFactor}`;
      ok(getRatio(shares) > 0.5, what);
    }
  }
});

test("a team with small demand gets half of it whatever capacity is stated", () => {
  // Guards against shares computed from more capacity than the upstreams have.
  // No team exceeds such a share, so the team with the most hosts takes all of
  // the real capacity.
  for (const promptTokens of [2_800, 8_000, 17_000]) {
    for (const statedCapacityFactor of [1, 3, 10]) {
      const [steady, overloading] = simulateSharedUpstreams({
        demandFactor: 3,
        promptTokens,
        teams: [
          { hosts: [0, 1], weight: 0.3 },
          { hosts: [0, 1, 2, 3, 4, 5, 6], weight: 1.7 },
        ],
        lateShares: Array.from({ length: 7 }, () => 0.3),
        statedCapacityFactor,
      });
      const due = Math.min(steady!.asked, overloading!.begun) / 2;
      const what = `${steady!.begun} of ${due} due, ${
        overloading!.begun
      } for the overloading team`;
      ok(
        steady!.begun >= due,
        `${what}; ${promptTokens}, ${statedCapacityFactor}`,
      );
    }
  }
});

test("a small team with large prompts gets half of what it asks beside a large team with small ones", () => {
  // Guards against room that small prompts take, one after the other, before a large one fits.
  const everyHost = Array.from({ length: 20 }, (_, at) => at);
  for (const promptTokens of [8_000, 12_000, 17_000]) {
    for (const demandFactor of [1.3, 2]) {
      const [small] = simulateSharedUpstreams({
        demandFactor,
        promptTokens: 1_500,
        teams: [
          { hosts: [0, 1], weight: 0.15, promptTokens },
          { hosts: everyHost, weight: 1.85 },
        ],
        lateShares: everyHost.map(() => 0.3),
        statedCapacityFactor: 3,
      });
      const what = `${promptTokens} tokens at ${demandFactor}`;
      ok(small!.share >= 0.5, `${small!.share.toFixed(2)} with ${what}`);
    }
  }
});

/** Seconds over which two teams are compared. */
const WINDOW_S = 6;

/**
 * Returns the smallest ratio of the two teams' starts in any window from that
 * second on.
 */
function getWorstRatio(
  teams: readonly PromptCounts[],
  fromSecond: number,
): number {
  const bySecond = teams.map((each) => each.begunBySecond.slice(0, -1));
  const ratios: number[] = [];
  for (let at = fromSecond; at + WINDOW_S <= bySecond[0]!.length; at++) {
    const sums = bySecond.map((each) =>
      each.slice(at, at + WINDOW_S).reduce((sum, begun) => sum + begun, 0)
    );
    ratios.push(getRatio(sums));
  }
  return Math.min(...ratios);
}

test("of two teams that flood each gets half of the other in any six seconds, whichever began first", () => {
  // Guards against service before the other team came that counts against a team.
  const everyHost = [0, 1, 2, 3, 4, 5, 6];
  const floods = [
    [{ hosts: [0] }, { hosts: everyHost, fromMs: 10_000 }],
    [{ hosts: [0], fromMs: 10_000 }, { hosts: everyHost }],
  ];
  for (const teams of floods) {
    for (const promptTokens of [2_800, 8_000, 17_000]) {
      for (const speedShare of [0.5, 1]) {
        const counts = simulateSharedUpstreams({
          demandFactor: 4,
          promptTokens,
          teams,
          lateShares: everyHost.map(() => 0.3),
          slowdown: { fromMs: 10_000, untilMs: 13_000, speedShare },
          refusesEarly: true,
          untilMs: 24_000,
        });
        const ratio = getWorstRatio(counts, 10);
        const what = `${promptTokens} tokens, ${speedShare} of the speed`;
        ok(ratio >= 0.5, `${ratio.toFixed(2)} with ${what}`);
      }
    }
  }
});
