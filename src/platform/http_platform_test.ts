/**
 * Tests of the platform's client against a fake server on loopback.
 *
 * @module
 */

import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import {
  connectionEnds,
  cutResponses,
  listenRaw,
} from "../testing/raw_server.ts";
import { createHttpPlatform } from "./http_platform.ts";
import { PlatformError } from "./types.ts";

test("an unchanged machine list is read without a body", async () => {
  // The router creates the effect once and runs it every few seconds. Guards
  // against reading the full list each time: a thousand machines every 2 s
  // would be twenty times a host's budget for control traffic.
  const sent: number[] = [];
  let list = "[]";
  const server = createServer((req, res) => {
    const etag = `"${list.length}"`;
    const isKnown = req.headers["if-none-match"] === etag;
    sent.push(isKnown ? 0 : list.length);
    res.writeHead(isKnown ? 304 : 200, { etag }).end(isKnown ? "" : list);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const read = createHttpPlatform(`127.0.0.1:${port}`).machines.get();
  try {
    assert.deepEqual(await Effect.runPromise(read), []);
    assert.deepEqual(await Effect.runPromise(read), []);
    list = '[{"id":"entry-1"}]';
    const changed = await Effect.runPromise(read);
    assert.deepEqual(changed, [{ id: "entry-1" }]);
    assert.deepEqual(await Effect.runPromise(read), changed);
    assert.deepEqual(sent, [2, 0, list.length, 0]);
  } finally {
    server.close();
    server.closeAllConnections();
  }
});

test("a cut reply is a failure of the platform, never a defect or a shorter list", async () => {
  const whole = JSON.stringify([{ id: "entry-1" }, { id: "entry-2" }]);
  for (const response of cutResponses(whole, whole.slice(0, -10))) {
    for (const end of connectionEnds) {
      await using server = await listenRaw((socket) =>
        socket.write(response, () => end(socket))
      );
      const { machines, tables } = createHttpPlatform(server.address);
      for (const call of [machines.get(), tables.transact([])]) {
        const err = await Effect.runPromise(
          Effect.flip(call as Effect.Effect<unknown, PlatformError>),
        );
        assert(err instanceof PlatformError, response);
        assert(err.mayHaveRun);
      }
    }
  }
});
