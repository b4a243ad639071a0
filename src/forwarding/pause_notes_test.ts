import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createPauseNotes } from "./pause_notes.ts";

/** Notes an answer with an event after each pause, in ms; gives what counted. */
function play(pausesMs: readonly number[]): readonly boolean[] {
  const counted: boolean[] = [];
  const notes = createPauseNotes({
    targetMs: 400,
    onCounted: (isLate) => void counted.push(isLate),
  });
  let nowMs = 0;
  for (const pauseMs of pausesMs) {
    nowMs += pauseMs;
    notes.note(pauseMs, nowMs);
  }
  notes.end();
  return counted;
}

test("an answer that ends within a second counts once, late or not", () => {
  // Guards against a limit learned from late answers alone.
  deepStrictEqual(play([0, 100, 100]), [false]);
  deepStrictEqual(play([0, 100, 500]), [true]);
});

test("a long answer counts each second until it is late", () => {
  const twoSeconds = Array.from({ length: 22 }, () => 100);
  deepStrictEqual(play(twoSeconds), [false, false]);
  deepStrictEqual(play([...twoSeconds, 500, 100, 500]), [false, false, true]);
});
