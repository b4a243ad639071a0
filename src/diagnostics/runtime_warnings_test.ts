import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  createRuntimeWarnings,
  MAX_WARNING_KINDS,
  OTHER_WARNINGS,
  type RuntimeWarning,
  type RuntimeWarnings,
} from "./runtime_warnings.ts";

/** A recorder whose intervals end when the test says so. */
interface Recorder extends RuntimeWarnings {
  readonly written: readonly RuntimeWarning[];
  endIntervals(): void;
}

function createRecorder(): Recorder {
  const written: RuntimeWarning[] = [];
  let scheduled: (() => void)[] = [];
  return {
    ...createRuntimeWarnings({
      write: (warning) => void written.push(warning),
      schedule: (run) => void scheduled.push(run),
    }),
    written,
    endIntervals() {
      const runs = scheduled;
      scheduled = [];
      for (const run of runs) run();
    },
  };
}

function createWarning(name: string, message: string): Error {
  return Object.assign(new Error(message), { name });
}

test("a flood of one warning is two lines, and none is left uncounted", () => {
  // Guards against warnings that crowd decisions out of the log.
  const recorder = createRecorder();
  for (let at = 1; at <= 500; at++) {
    recorder.record(createWarning("Leak", `number ${at}`));
  }
  recorder.endIntervals();
  recorder.endIntervals();
  deepStrictEqual(
    recorder.written.map(({ message, count }) => [message, count]),
    [["number 1", 1], ["number 500", 499]],
  );
});

test("after an interval without warnings the next one is written at once", () => {
  // Guards against a warning that waits for others that never come.
  const recorder = createRecorder();
  recorder.record(createWarning("Leak", "first"));
  recorder.endIntervals();
  recorder.record(createWarning("Leak", "second"));
  deepStrictEqual(recorder.written.map(({ count }) => count), [1, 1]);
});

test("warnings of endless kinds are few and short lines", () => {
  // Guards against a log that grows with what a name or a message holds.
  const recorder = createRecorder();
  const long = "x".repeat(10_000);
  for (let at = 0; at < 1_000; at++) {
    recorder.record(createWarning(`${at} ${long}`, long));
  }
  recorder.endIntervals();
  const { written } = recorder;
  strictEqual(written.length, MAX_WARNING_KINDS + 2);
  strictEqual(written.at(-1)!.kind, OTHER_WARNINGS);
  const count = written.reduce((sum, each) => sum + each.count, 0);
  strictEqual(count, 1_000);
  ok(written.every((each) => JSON.stringify(each).length < 1_500));
});

test("a warning names the place that raised it, without its message", () => {
  // Guards against a warning whose cause can't be found.
  const recorder = createRecorder();
  recorder.record(createWarning("Leak", "11 listeners added"));
  const { stack } = recorder.written[0]!;
  ok(stack.includes("runtime_warnings_test"), stack);
  ok(!stack.includes("11 listeners"), stack);
});
