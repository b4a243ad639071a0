import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createWeightStep } from "./weight_step.ts";

const ALONE = { otherSamples: 0, otherSteps: 0, samples: 40 };

function getSpeedAt(steps: number): number {
  return 2 ** (steps / 2);
}

test("weights are steps from a half to two", () => {
  const { monotonicMs } = createManualClock();
  for (
    const [speed, weight] of [
      [0.1, 0.5],
      [0.7, Math.SQRT1_2],
      [1.2, 1],
      [1.4, Math.SQRT2],
      [9, 2],
    ] as const
  ) {
    const step = createWeightStep(monotonicMs);
    step.update({ ...ALONE, speed });
    ok(Math.abs(step.getWeight() - weight) < 1e-9, `${speed}`);
  }
});

test("a speed that varies around the middle of two steps does not move the weight", () => {
  // Guards against shared prefixes that move to another upstream, and are
  // prefilled again there, each second.
  const clock = createManualClock();
  const step = createWeightStep(clock.monotonicMs);
  let changes = 0;
  for (let at = 0; at < 1_000; at++) {
    const speed = getSpeedAt(0.5 + 0.24 * Math.sin(at * 12.9898));
    if (step.update({ ...ALONE, speed })) changes++;
    clock.advance(1_000);
  }
  strictEqual(changes, 0);
});

test("seven samples do not move the weight", () => {
  const step = createWeightStep(createManualClock().monotonicMs);
  ok(!step.update({ ...ALONE, speed: 2, samples: 7 }));
  ok(step.update({ ...ALONE, speed: 2, samples: 8 }));
});

test("hosts on two steps within the hysteresis converge to one", () => {
  // Guards against a host that joins and sends the prefixes of an upstream
  // elsewhere for as long as its speed stays near the middle of two steps.
  const clock = createManualClock();
  const hosts = Array.from(
    { length: 5 },
    () => createWeightStep(clock.monotonicMs),
  );
  for (const host of hosts.slice(0, 3)) {
    host.update({ ...ALONE, speed: getSpeedAt(1) });
  }
  for (let round = 0; round < 8; round++) {
    const steps = hosts.map((each) => each.getStep());
    const sum = steps.reduce((a, b) => a + b, 0);
    for (const [at, host] of hosts.entries()) {
      host.update({
        speed: getSpeedAt(0.5),
        samples: 50,
        otherSamples: 40,
        otherSteps: (sum - steps[at]!) * 10,
      });
    }
    clock.advance(1_000);
  }
  deepEqualAll(hosts.map((each) => each.getStep()), 1);
});

test("two hosts that learned different steps agree", () => {
  // Guards against hosts that take each other's step again and again, so that
  // prefixes move between upstreams every few seconds.
  const clock = createManualClock(100_000);
  const hosts = [1.49, 1.51].map((position) => {
    const step = createWeightStep(clock.monotonicMs);
    step.update({ ...ALONE, speed: getSpeedAt(position) });
    return step;
  });
  let known = hosts.map((each) => each.getStep());
  let changes = 0;
  for (let second = 0; second < 300; second++) {
    clock.advance(1_000);
    const next = hosts.map((each) => each.getStep());
    hosts.forEach((each, at) => {
      const otherSteps = 20 * known[1 - at]!;
      const input = { speed: getSpeedAt(1.5), samples: 40, otherSamples: 20 };
      if (each.update({ ...input, otherSteps })) changes++;
    });
    known = next;
  }
  ok(changes <= 2, `${changes} changes`);
  strictEqual(hosts[0]!.getStep(), hosts[1]!.getStep());
});

function deepEqualAll(values: readonly number[], expected: number): void {
  for (const each of values) strictEqual(each, expected);
}
