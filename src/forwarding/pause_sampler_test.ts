import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createPauseSampler } from "./pause_sampler.ts";

/** Notes an answer with an event after each pause, in ms; gives what counted. */
function getSamples(pausesMs: readonly number[]): readonly boolean[] {
  const samples: boolean[] = [];
  const sampler = createPauseSampler({
    targetMs: 400,
    onSample: (isLate) => void samples.push(isLate),
  });
  let nowMs = 0;
  for (const pauseMs of pausesMs) {
    nowMs += pauseMs;
    sampler.addPause(pauseMs, nowMs);
  }
  sampler.end();
  return samples;
}

test("an answer that ends within a second counts once, late or not", () => {
  // Guards against a limit learned from late answers alone.
  deepStrictEqual(getSamples([0, 100, 100]), [false]);
  deepStrictEqual(getSamples([0, 100, 500]), [true]);
});

test("a long answer counts each second until it is late", () => {
  const twoSeconds = Array.from({ length: 22 }, () => 100);
  deepStrictEqual(getSamples(twoSeconds), [false, false]);
  deepStrictEqual(getSamples([...twoSeconds, 500, 100, 500]), [
    false,
    false,
    true,
  ]);
});
