import { deepStrictEqual, rejects, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import type { ReceivedSignal } from "./signal_record.ts";
import {
  createStartWaits,
  StartStopped,
  type StartWait,
  StartWaitError,
} from "./start_waits.ts";

function createFixture(failures: number) {
  const clock = createManualClock();
  const reports: StartWait[] = [];
  let signal: ReceivedSignal | undefined;
  let attempts = 0;
  const tryUntilDone = createStartWaits({
    nowMs: clock.monotonicMs,
    sleep(ms) {
      clock.advance(ms);
      return Promise.resolve();
    },
    stop: { tryGet: () => signal, requested: new Promise(() => {}) },
    onWaiting: (wait) => reports.push(wait),
  });
  const run = (limitMs = 5_000, isPassing = true) =>
    tryUntilDone("the address", () => {
      if (++attempts <= failures) throw new Error("in use");
      return attempts;
    }, { limitMs, isPassing: () => isPassing });
  const stop = () => signal = { name: "SIGTERM", receivedMs: 0 };
  return { clock, reports, run, stop };
}

test("what fails for a while is tried again and logged each second", async () => {
  const { clock, reports, run } = createFixture(25);
  strictEqual(await run(), 26);
  strictEqual(clock.monotonicMs(), 2_500);
  deepStrictEqual(reports.map((each) => each.waitedMs), [0, 1_000, 2_000]);
});

test("what fails for good ends the wait at its limit, named", async () => {
  const { clock, run } = createFixture(Infinity);
  await rejects(run(3_000), (err) =>
    err instanceof StartWaitError &&
    err.message === "Waited 3.0 s for the address: in use");
  strictEqual(clock.monotonicMs(), 3_000);
});

test("an error that waiting can't cure ends the wait at once", async () => {
  const { clock, reports, run } = createFixture(1);
  await rejects(run(3_000, false), /^Error: in use$/);
  deepStrictEqual([clock.monotonicMs(), reports.length], [0, 0]);
});

test("nothing is tried once the process is asked to stop", async () => {
  const { run, stop } = createFixture(0);
  stop();
  await rejects(run(), StartStopped);
});
