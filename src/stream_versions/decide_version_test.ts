import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import {
  type AskedKnowledge,
  decideByAnswers,
  decideByOwn,
  type OwnKnowledge,
} from "./decide_version.ts";
import type { KeeperAnswer } from "./types.ts";

const settled: OwnKnowledge = {
  versions: ["v1"],
  tableAgeMs: 700,
  hostAgeMs: 60_000,
  hasReadRecord: false,
  recorded: undefined,
  namesRequest: true,
};

const single: KeeperAnswer = { kind: "single-version", version: "v1" };
const notKnown: KeeperAnswer = { kind: "not-known" };
const known: KeeperAnswer = { kind: "known", version: "v1.1" };

function own(changes: Partial<OwnKnowledge>) {
  const decided = decideByOwn({ ...settled, ...changes });
  return decided.kind === "found"
    ? `${decided.version} by ${decided.from}`
    : decided.kind;
}

function asked(
  answers: readonly KeeperAnswer[],
  changes: Partial<AskedKnowledge> = {},
) {
  const decided = decideByAnswers({
    ...settled,
    asked: 3,
    answers,
    ...changes,
  });
  return decided.kind === "found"
    ? `${decided.version} by ${decided.from}`
    : decided.kind;
}

test("a host that has long known one version asks nobody", () => {
  strictEqual(own({}), "v1 by single-version");
  strictEqual(own({ namesRequest: false }), "v1 by single-version");
});

test("a host asks where its table is old, it is young, or several versions serve", () => {
  strictEqual(own({ tableAgeMs: 3_001 }), "ask");
  strictEqual(own({ tableAgeMs: Infinity }), "ask");
  strictEqual(own({ hostAgeMs: 29_999 }), "ask");
  strictEqual(own({ versions: ["v1", "v1.1"] }), "ask");
});

test("a host's own memory decides before the table", () => {
  const versions = ["v1", "v1.1"];
  strictEqual(own({ versions, recorded: "v1.1" }), "v1.1 by own");
  strictEqual(own({ versions: ["v1"], recorded: "v1.1" }), "v1.1 by own");
});

test("a stream whose caller names no request is unknown where several versions serve", () => {
  strictEqual(
    own({ versions: ["v1", "v1.1"], namesRequest: false }),
    "unknown",
  );
});

test("a service without upstreams has no version to go on at", () => {
  strictEqual(own({ versions: [] }), "none");
});

test("an answer that names the version decides, whatever the others say", () => {
  strictEqual(asked([notKnown, known]), "v1.1 by keeper");
  strictEqual(asked([single, known]), "v1.1 by keeper");
  strictEqual(asked([known], { versions: ["v1", "v2"] }), "v1.1 by keeper");
});

test("a host with an old table goes on only if all others know the same single version", () => {
  const old = { tableAgeMs: 10_000 };
  strictEqual(asked([single, single, single], old), "v1 by single-version");
  strictEqual(asked([single, single], old), "unknown");
  strictEqual(asked([single, single, notKnown], old), "unknown");
  strictEqual(
    asked([single, single, { kind: "single-version", version: "v2" }], old),
    "unknown",
  );
});

test("a host with an old table that nobody answers takes no stream up", () => {
  strictEqual(asked([], { tableAgeMs: 10_000 }), "unknown");
  strictEqual(asked([], { tableAgeMs: 10_000, asked: 0 }), "unknown");
});

test("a young host goes on by itself only if it has read the record of versions", () => {
  // Guards against hosts that have all just started and agree on what is left.
  const young = { hostAgeMs: 2_000 };
  const informed = { ...young, hasReadRecord: true };
  strictEqual(own(young), "ask");
  strictEqual(own(informed), "v1 by single-version");
  strictEqual(own({ ...informed, tableAgeMs: 3_001 }), "ask");
  strictEqual(own({ ...informed, versions: ["v1", "v1.1"] }), "ask");
  strictEqual(asked([], young), "unknown");
  strictEqual(asked([single, single], young), "unknown");
  strictEqual(asked([single, single, single], young), "v1 by single-version");
  strictEqual(asked([], informed), "v1 by single-version");
  strictEqual(asked([notKnown], informed), "unknown");
});

test("where several versions serve, only a version that somebody names is used", () => {
  const answer = fc.constantFrom(single, notKnown);
  const knowledge = fc.record({
    versions: fc.uniqueArray(fc.constantFrom("v1", "v1.1", "v2"), {
      minLength: 2,
    }),
    tableAgeMs: fc.constantFrom(0, 3_001),
    hostAgeMs: fc.constantFrom(0, 30_000),
    hasReadRecord: fc.boolean(),
    asked: fc.integer({ min: 0, max: 3 }),
    answers: fc.array(answer, { maxLength: 3 }),
  });
  fc.assert(fc.property(knowledge, (given) => {
    deepStrictEqual(decideByAnswers(given), { kind: "unknown" });
  }));
});
