/**
 * Tests of the MAC on datagrams.
 *
 * @module
 */

import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import fc from "fast-check";
import type { MembershipMessage } from "../membership/mod.ts";
import { createDatagramCodec, openDatagrams } from "./datagrams.ts";

const message: MembershipMessage = {
  from: "entry-1",
  incarnation: 1_764_000_000_000,
  sequence: 5,
  isAck: false,
  wantsSync: true,
  probeTarget: "entry-2",
  configVersion: 3,
  configDigest: "0af1".repeat(16),
  updates: [{
    host: "entry-3",
    incarnation: 7,
    revision: 2,
    state: "dead",
    dataCentre: "lagos-lekki",
    peerAddress: "10.0.0.3:21051",
    publicAddress: "10.0.0.3:21001",
  }],
  facts: [],
  directFacts: [],
};

test("a datagram with another fleet's MAC, or a modified one, is ignored", () => {
  // Guards against anyone who can reach the port declaring "entry-3" dead,
  // which would abort its requests.
  const codec = createDatagramCodec("secret-of-the-fleet");
  const bytes = codec.encode(message);
  const stranger = createDatagramCodec("another-secret-here").encode(message);
  assert.equal(codec.tryDecode(stranger), undefined);
  const at = fc.nat(bytes.length - 1);
  fc.assert(fc.property(at, fc.integer({ min: 1, max: 255 }), (where, flip) => {
    const changed = bytes.slice();
    changed[where]! ^= flip;
    assert.equal(codec.tryDecode(changed), undefined);
  }));
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (noise) => {
    assert.equal(codec.tryDecode(noise), undefined);
  }));
});

test("a decoded datagram equals the encoded message", () => {
  const codec = createDatagramCodec("secret-of-the-fleet");
  const decoded = codec.tryDecode(codec.encode(message))!;
  assert.equal(decoded.configDigest, message.configDigest);
  assert.equal(decoded.wantsSync, true);
  assert.equal(decoded.updates[0]!.state, "dead");
  assert.equal(decoded.updates[0]!.publicAddress, "10.0.0.3:21001");
});

test("a message that is sent after the socket has closed is dropped", async () => {
  // Guards against a request that ends as its host stops, and ends the process.
  const socket = await openDatagrams("127.0.0.1:0", {
    codec: createDatagramCodec("secret-of-the-fleet"),
    onMessage: () => {},
    onFailed: () => {},
  });
  await socket[Symbol.asyncDispose]();
  socket.send("127.0.0.1:9", message);
  socket.sendToAll(["127.0.0.1:9"], message);
});

test("what a host can't handle or send doesn't end it", async () => {
  // Guards against hosts that all end by one message that they pass on.
  const codec = createDatagramCodec("secret-of-the-fleet");
  const net = `127.${1 + process.pid % 250}.7`;
  const failures: string[] = [];
  const createHost = (address: string, onMessage: () => void) =>
    openDatagrams(address, {
      codec,
      onMessage,
      onFailed: (reason) => void failures.push(reason),
    });
  await using _receiver = await createHost(`${net}.1:7461`, () => {
    throw new TypeError("No such table");
  });
  await using sender = await createHost(`${net}.2:7461`, () => {});
  for (const target of ["127.0.0.1:80800", "spare", `${net}.1:7461`]) {
    sender.send(target, message);
  }
  while (failures.length < 3) await sleep(5);
  assert.deepEqual(failures, [
    '"127.0.0.1:80800" is no address',
    '"spare" is no address',
    "TypeError: No such table",
  ]);
});
