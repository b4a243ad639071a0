import { ok, strictEqual } from "node:assert";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import * as fc from "fast-check";
import { createEventSplitter, MAX_EVENT_BYTES } from "./event_splitter.ts";

test("an incomplete event is held back until it is complete", () => {
  const splitter = createEventSplitter();
  const first = splitter.push(Buffer.from("id: 7\ndata: a\n\nid: 8\nda"));
  strictEqual(first?.bytes.toString(), "id: 7\ndata: a\n\n");
  strictEqual(first?.lastEventId, "7");
  strictEqual(splitter.getIncomplete().toString(), "id: 8\nda");
  const second = splitter.push(Buffer.from("ta: b\n\n"));
  strictEqual(second?.bytes.toString(), "id: 8\ndata: b\n\n");
  strictEqual(splitter.getIncomplete().length, 0);
});

test("all complete events come out unchanged however the bytes are split", () => {
  const event = fc.tuple(
    fc.nat(999),
    fc.string({ unit: "binary", maxLength: 9 }),
  )
    .map(([id, text]) =>
      `id: ${id}\ndata: ${text.replace(/[\r\n]/g, "é")}\n\n`
    );
  fc.assert(fc.property(
    fc.array(event, { minLength: 1, maxLength: 8 }),
    fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 1, maxLength: 40 }),
    (events, cuts) => {
      const bytes = Buffer.from(events.join(""));
      const splitter = createEventSplitter();
      const out: Buffer[] = [];
      let at = 0;
      for (let cut = 0; at < bytes.length; cut++) {
        const size = cuts[cut % cuts.length]!;
        const chunk = splitter.push(bytes.subarray(at, at + size));
        if (chunk !== undefined) out.push(Buffer.from(chunk.bytes));
        at += size;
      }
      strictEqual(Buffer.concat(out).toString(), events.join(""));
    },
  ));
});

/** Text of events with every line ending, also broken ones. */
const lines = fc.string({
  unit: fc.constantFrom("\r", "\n", "\r\n", "id: 1", "id: 2", "x"),
  maxLength: 40,
});

test("events come out the same however the bytes of an event's end are split", () => {
  // Guards against an end that is missed because it arrived in two parts.
  fc.assert(fc.property(
    lines,
    fc.array(fc.integer({ min: 1, max: 4 }), { minLength: 1, maxLength: 20 }),
    (text, sizes) => {
      const whole = createEventSplitter();
      const expected = whole.push(Buffer.from(text));
      const splitter = createEventSplitter();
      let bytes = "";
      let lastEventId: string | undefined;
      let at = 0;
      for (let part = 0; at < text.length; part++) {
        const size = sizes[part % sizes.length]!;
        const chunk = splitter.push(Buffer.from(text.slice(at, at + size)));
        bytes += chunk?.bytes ?? "";
        lastEventId = chunk?.lastEventId ?? lastEventId;
        at += size;
      }
      strictEqual(bytes, String(expected?.bytes ?? ""));
      strictEqual(lastEventId, expected?.lastEventId);
      strictEqual(String(splitter.getIncomplete()), text.slice(bytes.length));
    },
  ));
});

test("an event in many small parts takes work in proportion to its size", (t) => {
  // Guards against a splitter that handles all held bytes anew with each part.
  const part = Buffer.from("x".repeat(64));
  const parts = 8_000;
  const { concat } = Buffer;
  let handledBytes = 0;
  t.mock.method(Buffer, "concat", (list: readonly Buffer[]) => {
    const joined = concat(list);
    handledBytes += joined.length;
    return joined;
  });
  const splitter = createEventSplitter();
  for (let at = 0; at < parts; at++) splitter.push(part);
  const chunk = splitter.push(Buffer.from("\n\n"));
  strictEqual(chunk?.bytes.length, part.length * parts + 2);
  ok(handledBytes <= 2 * chunk.bytes.length, `Joined ${handledBytes} bytes`);
});

test("an event that does not end is oversized once it passes the limit", () => {
  // Guards against a host that holds what an upstream sends without end.
  const splitter = createEventSplitter();
  const part = Buffer.alloc(1024, "x");
  for (let sent = 0; sent < MAX_EVENT_BYTES; sent += part.length) {
    splitter.push(part);
  }
  strictEqual(splitter.isOversized(), false);
  splitter.push(Buffer.from("x"));
  strictEqual(splitter.isOversized(), true);
});
