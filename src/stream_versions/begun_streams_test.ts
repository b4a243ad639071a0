import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createBegunStreams } from "./begun_streams.ts";

const createStream = (digest: string, service = "s") => ({
  digest,
  service,
  version: "v1",
});

test("a stream is remembered for thirty seconds", () => {
  const clock = createManualClock();
  const streams = createBegunStreams(clock);
  streams.record(createStream("a"));
  clock.advance(20_000);
  streams.record(createStream("b"));
  clock.advance(10_000);
  strictEqual(streams.tryGet("a")?.version, "v1");
  clock.advance(1);
  strictEqual(streams.tryGet("a"), undefined);
  strictEqual(streams.tryGet("b")?.version, "v1");
});

test("a stream that is taken up again is remembered anew", () => {
  const clock = createManualClock();
  const streams = createBegunStreams(clock);
  streams.record(createStream("a"));
  streams.record(createStream("b", "other"));
  clock.advance(29_000);
  streams.record(createStream("a"));
  clock.advance(2_000);
  deepStrictEqual(streams.getAll("s"), [createStream("a")]);
  deepStrictEqual(streams.getAll("other"), []);
});

test("the oldest streams are forgotten when there are too many", () => {
  const streams = createBegunStreams(createManualClock());
  for (let at = 0; at < 6_000; at++) streams.record(createStream(`${at}`));
  strictEqual(streams.getAll("s").length, 5_000);
  strictEqual(streams.tryGet("0"), undefined);
  strictEqual(streams.tryGet("5999")?.digest, "5999");
});
