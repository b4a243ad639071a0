import { deepStrictEqual } from "node:assert";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createForwardFixture } from "../testing/forward_fixture.ts";
import {
  countPieces,
  createHeldUpstream,
  createPiece,
  resetAndWait,
  sendUntilPaused,
  waitUntilRead,
} from "../testing/held_upstream.ts";
import {
  openPipeliningCaller,
  openSlowCaller,
} from "../testing/raw_callers.ts";
import { chunk, streamHead } from "../testing/raw_responses.ts";

const stream = { kind: "stream", isResumable: false } as const;

const CLOSING_CHUNK = "0\r\n\r\n";

/** Number and size, in bytes, of the pieces sent while the relay is paused. */
const LAST_PIECES = 4;
const LAST_PIECE_BYTES = 100;

/** Size of the pieces of a pipelined response, in bytes. */
const PIPELINED_PIECE_BYTES = 1_000;

/** Times from the last byte to the reset of its connection, in ms. */
const RESETS_AFTER_MS = [5, 30] as const;

function createPieces(count: number, bytes: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => createPiece(at + 1, bytes));
}

function sendLastPieces(upstream: Socket): void {
  const pieces = createPieces(LAST_PIECES, LAST_PIECE_BYTES);
  upstream.write(pieces.map(chunk).join("") + CLOSING_CHUNK);
}

for (const resetAfterMs of RESETS_AFTER_MS) {
  test(`a stream that was received whole reaches a slow caller whole although its upstream resets ${resetAfterMs} ms later`, async () => {
    // Guards against a stream that ends as complete without its last pieces.
    const held = createHeldUpstream();
    await using fixture = await createForwardFixture([held.behaviour], stream);
    using caller = openSlowCaller(fixture.port, "slow");
    const upstream = await held.waitForRequest("slow");
    upstream.write(streamHead("slow"));
    const sent = await sendUntilPaused(fixture, upstream);
    sendLastPieces(upstream);
    await waitUntilRead(fixture.agent, upstream);
    await sleep(resetAfterMs);
    await resetAndWait(fixture.agent, upstream);
    const res = await caller.read();
    deepStrictEqual([res.isComplete, countPieces(res.body)], [
      true,
      sent + LAST_PIECES,
    ]);
  });
}

for (const count of [18, 24, 30]) {
  for (const resetAfterMs of RESETS_AFTER_MS) {
    test(`a pipelined stream of ${count} pieces that was received whole reaches its caller whole although its upstream resets ${resetAfterMs} ms later`, async () => {
      // Guards against lost pieces of a response that waits for an earlier one.
      const held = createHeldUpstream();
      await using fixture = await createForwardFixture(
        [held.behaviour],
        stream,
      );
      using caller = openPipeliningCaller(fixture.port);
      caller.send(["first", "second"]);
      const first = await held.waitForRequest("first");
      first.write(streamHead("first") + chunk(createPiece(1, 10)));
      const second = await held.waitForRequest("second");
      second.write(streamHead("second"));
      for (const piece of createPieces(count, PIPELINED_PIECE_BYTES)) {
        second.write(chunk(piece));
        await waitUntilRead(fixture.agent, second);
      }
      second.write(CLOSING_CHUNK);
      await waitUntilRead(fixture.agent, second);
      await sleep(resetAfterMs);
      await resetAndWait(fixture.agent, second);
      first.write(CLOSING_CHUNK);
      const { responses } = await caller.read(2);
      deepStrictEqual(
        responses.map((res) => [res.isComplete, countPieces(res.body)]),
        [[true, 1], [true, count]],
      );
    });
  }
}
