import { strictEqual } from "node:assert";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import * as fc from "fast-check";
import { createEventSplitter } from "./event_splitter.ts";

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
