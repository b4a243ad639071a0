import { deepStrictEqual, ok } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import { createManualClock } from "../core/mod.ts";
import {
  createMembership,
  type Member,
  type MembershipMessage,
} from "../membership/mod.ts";
import { createDatagramCodec } from "./datagrams.ts";

const self: Member = {
  host: "a",
  incarnation: 1_000,
  revision: 1,
  state: "alive",
  dataCentre: "lagos-lekki",
  peerAddress: "127.0.0.1:1",
  publicAddress: "127.0.0.1:2",
};

const codec = createDatagramCodec("secret-of-the-fleet");
const number = fc.oneof(
  fc.double(),
  fc.maxSafeInteger(),
  fc.constantFrom(0, 2 ** 53, 1e308, Infinity, NaN, 999, 1_000),
);
const count = fc.oneof(
  fc.nat(2 ** 32 - 1),
  fc.integer({ min: 2 ** 32 - 4, max: 2 ** 32 - 1 }),
);
const text = fc.oneof(
  fc.string({ unit: "binary", maxLength: 300 }),
  fc.constantFrom("a", "b", "127.0.0.1:99999", "stream/ask/1"),
);
const fact = fc.record({ key: text, version: count, value: text });
const message = fc.record<MembershipMessage>({
  from: text,
  incarnation: number,
  sequence: count,
  isAck: fc.boolean(),
  wantsSync: fc.boolean(),
  probeTarget: text,
  configVersion: count,
  configDigest: fc.constant(""),
  updates: fc.array(
    fc.record<Member>({
      host: fc.oneof(text, fc.constant("a")),
      incarnation: fc.oneof(number, fc.constant(1_000)),
      revision: count,
      state: fc.constantFrom("alive", "suspect", "leaving", "dead"),
      dataCentre: text,
      peerAddress: text,
      publicAddress: text,
    }),
    { maxLength: 3 },
  ),
  facts: fc.array(fact, { maxLength: 3 }),
  directFacts: fc.array(fact, { maxLength: 2 }),
});

const EMPTY: MembershipMessage = {
  from: "b",
  incarnation: 1,
  sequence: 1,
  isAck: false,
  wantsSync: false,
  probeTarget: "",
  configVersion: 0,
  configDigest: "",
  updates: [],
  facts: [],
  directFacts: [],
};

test("whatever a host is told, it can still send", () => {
  // Guards against a host that falls silent by what others say of it.
  fc.assert(fc.property(fc.array(message, { maxLength: 5 }), (messages) => {
    const clock = createManualClock(5_000);
    const sent: number[] = [];
    const membership = createMembership(self, {
      clock,
      send: (_to, each) => void sent.push(codec.encode(each).length),
      random: () => 0.5,
      onChange: () => {},
      onFact: () => {},
      onConfigVersion: () => {},
      getConfigVersion: () => ({ version: 0, digest: "" }),
    });
    for (const each of messages) {
      membership.receive(codec.tryDecode(codec.encode(each))!, "127.0.0.1:9");
      clock.advance(500);
      membership.tick();
    }
    membership.leave();
    membership.receive({ ...EMPTY, sequence: 7 }, "127.0.0.1:9");
    deepStrictEqual(membership.getSelf().state, "leaving");
    ok(sent.length > 0);
  }));
});
