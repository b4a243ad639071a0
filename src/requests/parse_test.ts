/**
 * Tests the replies to invalid requests, and the handling of slow callers.
 *
 * @module
 */

import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import fc from "fast-check";
import { getDigest } from "../core/mod.ts";
import { runScheduled } from "../testing/fake_io.ts";
import type { Deployment } from "../types.ts";
import { writeToCaller } from "./caller.ts";
import { parseCall } from "./parse.ts";

const deployment: Deployment = {
  name: "test",
  dataCentres: [],
  teams: [{
    id: "alder",
    weight: 1,
    keyDigest: getDigest("key-of-alder"),
    maxQueued: 10,
  }],
  services: [{
    id: "desk",
    kind: "plain",
    operations: [{ name: "book", idempotent: false }],
    maxDeadlineMs: 30_000,
    maxBodyBytes: 100,
    expectedCost: 1,
  }],
  upstreams: [],
};

const headers = {
  authorization: "Bearer key-of-alder",
  "idempotency-key": "visit-1",
};

function createRequest(
  url = "/v1/desk/book",
  own: Readonly<Record<string, string>> = headers,
) {
  const body = new PassThrough();
  const req = Object.assign(body, { url, headers: own });
  return { body, req: req as unknown as IncomingMessage };
}

/** Returns the outcome and the message name of the reply, or "parsed". */
function parse(s: fc.Scheduler, req: IncomingMessage): Promise<string> {
  const parsed = parseCall(req, deployment).pipe(
    Effect.match({
      onSuccess: () => "parsed",
      onFailure: (err) => `${err.reply.outcome} ${err.reply.message}`,
    }),
  );
  return runScheduled(s, parsed, 15);
}

function createScheduler(): fc.Scheduler {
  return fc.sample(fc.scheduler(), { numRuns: 1, seed: 1 })[0]!;
}

const rejected: readonly (readonly [
  string,
  string,
  Readonly<Record<string, string>>,
  string,
])[] = [
  ["/v1/desk/book", "{}", {}, "missingKey"],
  ["/v1/desk/book", "{}", { authorization: "Bearer x" }, "unknownKey"],
  ["/v1/desk", "{}", headers, "unknownPath"],
  ["/v1/bank/book", "{}", headers, "unknownService"],
  ["/v1/desk/sell", "{}", headers, "unknownOperation"],
  ["/v1/desk/book", "{", headers, "malformedJson"],
  ["/v1/desk/book", "1", headers, "malformedJson"],
  ["/v1/desk/book", `{"a":"${"x".repeat(100)}"}`, headers, "bodyTooLarge"],
  [
    "/v1/desk/book",
    "{}",
    { authorization: headers.authorization },
    "missingIdempotencyKey",
  ],
  [
    "/v1/desk/book",
    "{}",
    { ...headers, "azurestile-timeout-ms": "-1" },
    "badHeader",
  ],
];

for (const [url, text, own, message] of rejected) {
  test(`${url} with ${text.length} bytes gets ${message}`, async () => {
    const { body, req } = createRequest(url, own);
    body.end(text);
    assert.equal(await parse(createScheduler(), req), `not-run ${message}`);
  });
}

test("a caller gets its reply while it sends an oversized body", async () => {
  // Guards against a connection reset in place of the reply "too large": the
  // host closed the connection with unread data, and the reset overtook the
  // reply.
  const { body, req } = createRequest();
  body.write("x".repeat(200));
  assert.equal(await parse(createScheduler(), req), "not-run bodyTooLarge");
  assert.ok(!req.destroyed);
  body.write("x".repeat(200_000));
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(body.readableLength, 0);
  body.destroy();
});

test("receiving a body times out", async () => {
  const s = createScheduler();
  const { body, req } = createRequest();
  body.write("{");
  const outcome = parse(s, req);
  await s.waitFor(outcome);
  assert.equal(await outcome, "not-run slowBody");
  body.destroy();
});

function createFullResponse() {
  const state = { destroyed: false, written: 0 };
  const res = Object.assign(new EventEmitter(), {
    write: () => {
      state.written++;
      return false;
    },
    destroy: () => void (state.destroyed = true),
  });
  return { res: res as unknown as ServerResponse, state };
}

test("a caller that reads nothing times out, a slow one does not", async () => {
  // Guards against a slot that stays in use until the next morning because the
  // caller's computer went to sleep in the middle of a stream.
  const s = createScheduler();
  const stalled = createFullResponse();
  const lost = runScheduled(
    s,
    Effect.flip(writeToCaller(stalled.res, "part")),
    15,
  );
  await s.waitFor(lost);
  assert.equal((await lost)._tag, "CallerLost");
  assert.ok(stalled.state.destroyed);

  const slow = createFullResponse();
  const written = runScheduled(s, writeToCaller(slow.res, "part"), 15);
  void s.schedule(Promise.resolve(), "reads").then(() =>
    slow.res.emit("drain")
  );
  await s.waitFor(written);
  assert.ok(!slow.state.destroyed);
});
