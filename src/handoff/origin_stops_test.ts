import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createManualClock } from "../core/mod.ts";
import { createOriginStops } from "./origin_stops.ts";

const RELAY = { origin: "127.0.0.1:7400", incarnation: 7, number: 1 };

function createFixture(leftMs: number) {
  const clock = createManualClock(1_000);
  const stops = createOriginStops(clock);
  const { origin, incarnation } = RELAY;
  stops.record({ origin, incarnation, leftMs });
  return { clock, stops };
}

test("a relay lasts until the end that its origin announced", () => {
  const { clock, stops } = createFixture(500);
  using _ = stops;
  deepStrictEqual(
    [1_500, 1_501].map((deadlineMs) => stops.lasts(RELAY, deadlineMs)),
    [true, false],
  );
  clock.advance(501);
  strictEqual(stops.lasts(RELAY, clock.monotonicMs()), false);
});

test("a process that starts at the address of a stopped origin is not taken for it", () => {
  // Guards against refusals of all that a restarted host hands off.
  using stops = createFixture(500).stops;
  strictEqual(stops.lasts({ ...RELAY, incarnation: 8 }, 60_000), true);
  strictEqual(stops.lasts({ ...RELAY, origin: "127.0.0.2:7400" }, 9_000), true);
});

test("requests of a stopping origin end with it, unless they have ended before", async () => {
  using stops = createFixture(30).stops;
  const ended: string[] = [];
  const note = (what: string) => () => void ended.push(what);
  stops.onEnding(RELAY, note("open"));
  stops.onEnding(RELAY, note("done"))[Symbol.dispose]();
  stops.onEnding({ ...RELAY, incarnation: 8 }, note("of another process"));
  await sleep(100);
  deepStrictEqual(ended, ["open"]);
});

test("an origin that announces its stop again ends once, at the later notice's time", async () => {
  using stops = createFixture(10).stops;
  const { origin, incarnation } = RELAY;
  let endings = 0;
  stops.onEnding(RELAY, () => endings++);
  stops.record({ origin, incarnation, leftMs: 60 });
  await sleep(40);
  strictEqual(endings, 0);
  await sleep(100);
  strictEqual(endings, 1);
});
