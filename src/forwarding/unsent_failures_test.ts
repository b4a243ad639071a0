import { deepStrictEqual } from "node:assert";
import { Agent } from "node:http";
import { Socket } from "node:net";
import process from "node:process";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { createUpstreamCall } from "../testing/upstream_calls.ts";
import { openCall } from "./upstream_call.ts";

/**
 * Errors of `connect` that Node reports before it returns from the call: those
 * that count against the upstream, and those of which this host is the cause.
 */
const CODES = {
  "not-sent": [
    "EACCES",
    "EHOSTUNREACH",
    "EINVAL",
    "ENETUNREACH",
    "ETIMEDOUT",
  ],
  unsendable: ["EADDRNOTAVAIL", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"],
};

/** Creates an agent whose connections all fail at once, as `net.connect` does. */
function createFailingAgent(code: string): Agent {
  const createConnection = () => {
    const socket = Object.assign(new Socket(), { connecting: true });
    const err = Object.assign(new Error(code), { code, syscall: "connect" });
    process.nextTick(() => socket.destroy(err));
    return socket;
  };
  return Object.assign(new Agent(), { createConnection });
}

/** Returns how a call fails, and how often it counted as sent. */
async function callAndFail(
  agent: Agent,
  address: string,
): Promise<readonly [string, number]> {
  let sent = 0;
  const call = createUpstreamCall({ agent, address }, { onSent: () => sent++ });
  const failed = await Effect.runPromise(Effect.flip(openCall(call)));
  return [`${failed.reason} ${failed.kind}`, sent];
}

for (const [kind, codes] of Object.entries(CODES)) {
  for (const code of codes) {
    test(`a request whose connection fails at once with ${code} ends as ${kind}`, async () => {
      // Guards against an upstream that counts as down for what this host lacks.
      const agent = createFailingAgent(code);
      const result = await callAndFail(agent, "127.0.0.1:9");
      deepStrictEqual(result, [`${code} ${kind}`, 0]);
    });
  }
}

for (const address of ["224.0.0.1:9", "127.255.255.255:9"]) {
  test(`a request to ${address}, to which nobody can connect, doesn't count as sent`, async () => {
    // Guards against 502 for a request that may run once and never left.
    const [failure, sent] = await callAndFail(new Agent(), address);
    deepStrictEqual([failure, sent], ["ENETUNREACH not-sent", 0]);
  });
}
