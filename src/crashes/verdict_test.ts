import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createCrashEvents } from "./crash_events.ts";
import { countMoments, tryFindCulprit } from "./verdict.ts";

/** Time between two crashes, in ms, so that each is a moment of its own. */
const GAP_MS = 1_000;

/** Longer than crashes must have been known to be held against a part, in ms. */
const SETTLED_MS = 2_000;

/** Crashes in their order, each with the parts that were there. */
type Crashes = readonly (readonly string[])[];

/** Returns what is held against a prompt with these parts after the crashes. */
function judge(
  crashes: Crashes,
  parts: readonly string[],
  gapMs = GAP_MS,
): string | undefined {
  const clock = createManualClock(1_000_000);
  const events = createCrashEvents(clock);
  for (const [process, there] of crashes.entries()) {
    for (const part of there) {
      events.merge({
        subject: `part-${part}`,
        process: `${process}`,
        atMs: clock.wallMs(),
        state: "counted",
      });
    }
    clock.advance(gapMs);
  }
  clock.advance(SETTLED_MS);
  const names = parts.map((each) => `part-${each}`);
  return tryFindCulprit({ fingerprint: "own", parts: names }, events);
}

function repeat(count: number, ...parts: readonly string[]): Crashes {
  return Array.from({ length: count }, () => parts);
}

test("a part is held against prompts from the fifth crash on", () => {
  // Guards against upstream after upstream that ends under one part.
  strictEqual(judge(repeat(4, "bad"), ["bad"]), undefined);
  strictEqual(judge(repeat(5, "bad"), ["bad"]), "part-bad");
  strictEqual(judge(repeat(5, "bad"), ["sound"]), undefined);
});

test("parts at crashes of one moment are held against no prompt", () => {
  // Guards against refusing all prompts as a rack of upstreams is lost.
  strictEqual(judge(repeat(20, "common"), ["common"], 10), undefined);
});

test("a prompt passes that lacks one of the parts at all crashes", () => {
  // Guards against refusing sound prompts for what they share with bad ones.
  const crashes = repeat(6, "common", "team", "bad");
  strictEqual(judge(crashes, ["common", "team"]), undefined);
  strictEqual(judge(crashes, ["common", "bad"]), undefined);
  strictEqual(judge(crashes, ["common", "team", "bad"]), "part-common");
});

test("a prompt passes that shares a part with two bad ones", () => {
  // Guards against blaming what two bad parts have in common.
  const crashes = [
    ...repeat(4, "common", "bad-1"),
    ...repeat(4, "common", "bad-2"),
  ];
  strictEqual(judge(crashes, ["common"]), undefined);
});

test("a crash by chance does not hold a part against prompts that a bad one came with", () => {
  // Guards against blaming a popular part for one crash of another cause.
  const crashes = [["common"], ...repeat(5, "common", "bad")];
  strictEqual(judge(crashes, ["common"]), undefined);
});

test("a lost rack before a bad part holds no popular part against prompts", () => {
  // Guards against adding up crashes of two causes before one is known.
  const clock = createManualClock(1_000_000);
  const events = createCrashEvents(clock);
  function crash(process: string, ...parts: readonly string[]): void {
    for (const subject of parts) {
      const atMs = clock.wallMs();
      events.merge({ subject, process, atMs, state: "counted" });
    }
  }
  for (const process of ["1", "2", "3"]) crash(process, "part-common");
  for (const process of ["4", "5", "6", "7"]) {
    clock.advance(GAP_MS);
    crash(process, "part-common", "part-bad");
  }
  clock.advance(SETTLED_MS);
  const request = { fingerprint: "own", parts: ["part-common"] };
  strictEqual(tryFindCulprit(request, events), undefined);
});

test("crashes that a host has just seen are held against no part until others have told theirs", () => {
  // Guards against a host that knows at once which parts its own prompts had,
  // and of the bad one only seconds later.
  const clock = createManualClock(1_000_000);
  const events = createCrashEvents(clock);
  const told: { readonly dueMs: number; readonly process: string }[] = [];
  const request = { fingerprint: "own", parts: ["part-seen"] };
  const merge = (subject: string, process: string) =>
    events.merge({ subject, process, atMs: clock.wallMs(), state: "counted" });
  for (let step = 0; step < 80; step++) {
    const process = `${step}`;
    if (step % 6 === 0) {
      merge("part-seen", process);
      told.push({ dueMs: clock.monotonicMs() + 1_200, process });
    }
    for (const each of told) {
      if (each.dueMs === clock.monotonicMs()) merge("part-bad", each.process);
    }
    strictEqual(tryFindCulprit(request, events), undefined, `step ${step}`);
    clock.advance(100);
  }
});

test("a refuted crash counts for nothing", () => {
  const clock = createManualClock(1_000_000);
  const events = createCrashEvents(clock);
  for (const process of ["1", "2", "3", "4", "5", "6"]) {
    const atMs = clock.wallMs();
    const event = { subject: "part-a", process, atMs };
    events.merge({ ...event, state: "counted" });
    if (process < "3") events.merge({ ...event, state: "refuted" });
    clock.advance(GAP_MS);
  }
  clock.advance(SETTLED_MS);
  const request = { fingerprint: "own", parts: ["part-a"] };
  strictEqual(tryFindCulprit(request, events), undefined);
});

test("crashes of one half second are one moment", () => {
  const at = (...times: readonly number[]) =>
    countMoments(
      times.map((atMs) => ({
        subject: "part-a",
        process: `${atMs}`,
        atMs,
        state: "counted",
      })),
    );
  deepStrictEqual([at(), at(0), at(0, 500), at(501, 0, 1_400, 900)], [
    0,
    1,
    1,
    3,
  ]);
});
