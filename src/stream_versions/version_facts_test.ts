import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import {
  createStreamFact,
  createVersionFact,
  getShortDigest,
  type StreamMessage,
  tryParseStreamFact,
  tryParseVersionFact,
} from "./version_facts.ts";

const MINUTE_MS = 60_000;

const from = "10.1.0.7:9000";

test("a message between hosts is read as it was written, whatever the version's text", () => {
  fc.assert(fc.property(fc.string(), fc.string(), (request, version) => {
    const digest = getShortDigest(request);
    const service = getShortDigest(version);
    const messages: readonly StreamMessage[] = [
      { kind: "begun", digest, version },
      { kind: "ask", digest, service, from },
      { kind: "answer", digest, from, answer: { kind: "known", version } },
      {
        kind: "answer",
        digest,
        from,
        answer: { kind: "single-version", version },
      },
      { kind: "confirm", digest, service, from },
      {
        kind: "answer",
        digest,
        from,
        answer: { kind: "confirmed-version", version },
      },
      { kind: "answer", digest, from, answer: { kind: "not-known" } },
    ];
    for (const message of messages) {
      deepStrictEqual(tryParseStreamFact(createStreamFact(message)), message);
    }
  }));
});

test("a fact of another format is left out", () => {
  const parse = (key: string, value: string) =>
    tryParseStreamFact({ key, version: 1, value });
  strictEqual(parse("stream/later/abc", "x y"), undefined);
  strictEqual(parse("stream/ask", "x y"), undefined);
  strictEqual(parse("stream/ask/abc", "x"), undefined);
  strictEqual(parse("stream/answer/abc", "x later"), undefined);
  strictEqual(parse("stream/answer/abc", "x known"), undefined);
});

test("hosts that see a version within a minute publish the same fact", () => {
  const seen = { service: getShortDigest("model"), version: "v1/a b" };
  const first = createVersionFact(seen, 10 * MINUTE_MS);
  deepStrictEqual(createVersionFact(seen, 10 * MINUTE_MS + 59_000), first);
  deepStrictEqual(tryParseVersionFact(first, 10 * MINUTE_MS), seen);
});

test("a fact about a version that is passed on later names none", () => {
  const seen = { service: getShortDigest("model"), version: "v1" };
  const fact = createVersionFact(seen, 10 * MINUTE_MS);
  deepStrictEqual(tryParseVersionFact(fact, 11 * MINUTE_MS), seen);
  strictEqual(tryParseVersionFact(fact, 12 * MINUTE_MS), undefined);
});
