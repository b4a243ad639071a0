import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createPauseSampler } from "./pause_sampler.ts";

/**
 * Runs a sampler over a response with an event after each pause, in ms; returns
 * its samples.
 */
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

test("a response that ends within a second is sampled once, late or not", () => {
  // Guards against a limit that is learned from late responses only.
  deepStrictEqual(getSamples([0, 100, 100]), [false]);
  deepStrictEqual(getSamples([0, 100, 500]), [true]);
});

test("a long response is sampled each second until it is late", () => {
  const twoSeconds = Array.from({ length: 22 }, () => 100);
  deepStrictEqual(getSamples(twoSeconds), [false, false]);
  deepStrictEqual(getSamples([...twoSeconds, 500, 100, 500]), [
    false,
    false,
    true,
  ]);
});
