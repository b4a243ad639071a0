import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import {
  type AskedKnowledge,
  decideByAnswers,
  decideByOwn,
  decideByRead,
  type FirstDecision,
  type OwnKnowledge,
  type Watch,
} from "./decide_version.ts";
import type { KeeperAnswer } from "./types.ts";

const settled: OwnKnowledge = {
  versions: ["v1"],
  recorded: undefined,
  namesRequest: true,
};

const watched: Watch = { hostAgeMs: 60_000, hasReadRecord: false };

const single: KeeperAnswer = { kind: "single-version", version: "v1" };
const notKnown: KeeperAnswer = { kind: "not-known" };
const known: KeeperAnswer = { kind: "known", version: "v1.1" };
const confirmed: KeeperAnswer = { kind: "confirmed-version", version: "v1" };

function format(decided: FirstDecision): string {
  return decided.kind === "found"
    ? `${decided.version} by ${decided.confirmedBy ?? decided.from}`
    : decided.kind;
}

function own(changes: Partial<OwnKnowledge>) {
  return format(decideByOwn({ ...settled, ...changes }));
}

function read(changes: Partial<OwnKnowledge>) {
  return format(decideByRead({ ...settled, ...changes }));
}

function asked(
  answers: readonly KeeperAnswer[],
  changes: Partial<AskedKnowledge> = {},
) {
  return format(decideByAnswers({
    ...settled,
    ...watched,
    asked: 3,
    answers,
    ...changes,
  }));
}

test("a host that knows one version decides nothing before it has confirmed it", () => {
  // Guards against a version that began elsewhere since the last confirmation.
  strictEqual(own({}), "confirm");
  strictEqual(own({ namesRequest: false }), "confirm");
  strictEqual(own({ versions: ["v1", "v1.1"] }), "ask");
});

test("a single version is certain once the platform was read", () => {
  strictEqual(read({}), "v1 by platform");
  strictEqual(read({ namesRequest: false }), "v1 by platform");
  strictEqual(read({ versions: ["v1", "v1.1"] }), "ask");
  strictEqual(
    read({ versions: ["v1", "v1.1"], namesRequest: false }),
    "unknown",
  );
  strictEqual(read({ versions: [] }), "none");
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

test("without the platform a host goes on only if all others know the same single version", () => {
  strictEqual(asked([single, single, single]), "v1 by all-hosts");
  strictEqual(asked([single, single]), "unknown");
  strictEqual(asked([single, single, notKnown]), "unknown");
  strictEqual(
    asked([single, single, { kind: "single-version", version: "v2" }]),
    "unknown",
  );
});

test("one host that has confirmed the version suffices, unless another knows more", () => {
  strictEqual(asked([confirmed]), "v1 by other-host");
  strictEqual(asked([single, confirmed]), "v1 by other-host");
  strictEqual(asked([confirmed, known]), "v1.1 by keeper");
  strictEqual(
    asked([confirmed, { kind: "single-version", version: "v2" }]),
    "unknown",
  );
  strictEqual(asked([confirmed], { versions: ["v2"] }), "unknown");
});

test("a host that reaches nobody takes no stream up", () => {
  strictEqual(asked([]), "unknown");
  strictEqual(asked([], { asked: 0 }), "unknown");
});

test("a young host counts itself among those that agree only with the record of versions", () => {
  // Guards against hosts that have all just started and agree on what is left.
  const young = { hostAgeMs: 2_000 };
  const informed = { ...young, hasReadRecord: true };
  const all = [single, single, single];
  strictEqual(asked(all, young), "unknown");
  strictEqual(asked(all, informed), "v1 by all-hosts");
  strictEqual(asked([confirmed], young), "v1 by other-host");
});

test("where several versions serve, only a version that somebody names is used", () => {
  const answer = fc.constantFrom(single, confirmed, notKnown);
  const knowledge = fc.record({
    versions: fc.uniqueArray(fc.constantFrom("v1", "v1.1", "v2"), {
      minLength: 2,
    }),
    hostAgeMs: fc.constantFrom(0, 30_000),
    hasReadRecord: fc.boolean(),
    asked: fc.integer({ min: 0, max: 3 }),
    answers: fc.array(answer, { maxLength: 3 }),
  });
  fc.assert(fc.property(knowledge, (given) => {
    deepStrictEqual(decideByAnswers(given), { kind: "unknown" });
  }));
});
