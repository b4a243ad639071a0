import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createCrashEvents, EVENT_TTL_MS } from "./crash_events.ts";
import type { CrashEvent } from "./types.ts";

function createEvent(subject: string, process: number): CrashEvent {
  return { subject, process: `1/u-${process}`, atMs: 1_000, state: "counted" };
}

test("a flood of crashes costs bounded memory and keeps the latest subjects", () => {
  // Guards against a host whose memory grows with what callers send.
  const events = createCrashEvents(createManualClock(1_000));
  for (let subject = 0; subject < 1_500; subject++) {
    for (let process = 0; process < 30; process++) {
      events.merge(createEvent(`part-${subject}`, process));
    }
  }
  const subjects = Array.from({ length: 1_500 }, (_, at) => `part-${at}`);
  const kept = subjects.map((each) => events.count(each));
  const total = kept.reduce((sum, each) => sum + each, 0);
  ok(total <= 20_000, `${total} events`);
  strictEqual(events.count("part-1499"), 30);
  strictEqual(events.count("part-0"), 0);
});

test("a crash that is told again after it was refuted stays refuted", () => {
  const events = createCrashEvents(createManualClock(1_000));
  for (let process = 0; process < 60; process++) {
    const event = createEvent("part-a", process);
    events.merge(event);
    events.merge({ ...event, state: "refuted" });
  }
  for (let process = 0; process < 60; process++) {
    strictEqual(events.merge(createEvent("part-a", process)), false);
  }
  strictEqual(events.count("part-a"), 0);
});

test("a part whose crashes have expired explains and blocks nothing", () => {
  const clock = createManualClock(1_000);
  const events = createCrashEvents(clock);
  for (let process = 0; process < 5; process++) {
    events.merge({ ...createEvent("part-a", process), atMs: clock.wallMs() });
    clock.advance(1_000);
  }
  clock.advance(2_000);
  strictEqual(events.getSuspectParts().length, 1);
  strictEqual(events.getRivals(5).length, 1);
  clock.advance(EVENT_TTL_MS);
  strictEqual(events.getSuspectParts().length, 0);
  strictEqual(events.getRivals(1).length, 0);
});
