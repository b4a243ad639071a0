import { deepStrictEqual, ok } from "node:assert";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import {
  CLOSING_CHUNK,
  countPieces,
  createHeldUpstream,
  createPiece,
  createPieces,
  LAST_PIECES,
  resetAndWait,
  sendLastPieces,
  sendUntilPaused,
  summarize,
  waitUntilRead,
} from "../testing/held_upstream.ts";
import {
  openPipeliningCaller,
  openSlowCaller,
  type PipelinedResponses,
} from "../testing/raw_callers.ts";
import {
  chunk,
  headWithLength,
  streamHead,
  unframedHead,
} from "../testing/raw_responses.ts";

const stream = { kind: "stream", isResumable: false } as const;

/** Number and size, in bytes, of the pieces of a pipelined response. */
const PIPELINED_PIECES = 24;
const PIPELINED_PIECE_BYTES = 1_000;

/** Size of the only piece of a response ahead of another, in bytes. */
const FIRST_PIECE_BYTES = 10;

/** Number and size, in bytes, of the pieces of a long pipelined response. */
const SMALL_PIECES = 200;
const SMALL_PIECE_BYTES = 200;

/** Times from the last byte to the reset of its connection, in ms. */
const RESETS_AFTER_MS = [5, 30] as const;

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

/** A pipelined response, which waits behind the first until that is ended. */
interface WaitingResponse extends AsyncDisposable {
  readonly fixture: ForwardFixture;
  readonly upstream: Socket;
  /** Ends the first response; resolves to what the caller reads. */
  endFirst(): Promise<PipelinedResponses>;
}

/** Sends two requests, and starts only the first response. */
async function openWaitingResponse(): Promise<WaitingResponse> {
  const held = createHeldUpstream();
  const fixture = await createForwardFixture([held.behaviour], stream);
  const caller = openPipeliningCaller(fixture.port);
  caller.send(["first", "second"]);
  const first = await held.waitForRequest("first");
  first.write(streamHead("first") + chunk(createPiece(1, FIRST_PIECE_BYTES)));
  return {
    fixture,
    upstream: await held.waitForRequest("second"),
    endFirst() {
      first.write(CLOSING_CHUNK);
      return caller.read(2);
    },
    async [Symbol.asyncDispose]() {
      caller[Symbol.dispose]();
      await fixture[Symbol.asyncDispose]();
    },
  };
}

/** Sends the parts one by one, each after the host has read the last. */
async function sendParts(
  { fixture, upstream }: WaitingResponse,
  parts: readonly string[],
): Promise<void> {
  for (const part of parts) {
    upstream.write(part);
    await waitUntilRead(fixture.agent, upstream);
  }
}

for (const count of [18, 24, 30]) {
  for (const resetAfterMs of RESETS_AFTER_MS) {
    test(`a pipelined stream of ${count} pieces that was received whole reaches its caller whole although its upstream resets ${resetAfterMs} ms later`, async () => {
      // Guards against lost pieces of a response that waits for an earlier one.
      await using waiting = await openWaitingResponse();
      const pieces = createPieces(count, PIPELINED_PIECE_BYTES);
      await sendParts(waiting, [
        streamHead("second"),
        ...pieces.map(chunk),
        CLOSING_CHUNK,
      ]);
      await sleep(resetAfterMs);
      await resetAndWait(waiting.fixture.agent, waiting.upstream);
      const read = await waiting.endFirst();
      deepStrictEqual(summarize(read), [[true, 1], [true, count]]);
    });
  }
}

for (const resetAfterMs of RESETS_AFTER_MS) {
  test(`a pipelined stream with a length that was received whole reaches its caller whole although its upstream resets ${resetAfterMs} ms later`, async () => {
    // Guards against lost pieces where the length tells the end of the stream.
    await using waiting = await openWaitingResponse();
    const pieces = createPieces(PIPELINED_PIECES, PIPELINED_PIECE_BYTES);
    const head = headWithLength("second", pieces.join("").length);
    await sendParts(waiting, [head, ...pieces]);
    await sleep(resetAfterMs);
    await resetAndWait(waiting.fixture.agent, waiting.upstream);
    const read = await waiting.endFirst();
    deepStrictEqual(summarize(read), [[true, 1], [true, PIPELINED_PIECES]]);
  });

  test(`a pipelined stream without a length whose orderly end is followed by a reset ${resetAfterMs} ms later is whole or seen as truncated`, async () => {
    // Guards against lost pieces where the connection's end ends the stream.
    await using waiting = await openWaitingResponse();
    const { upstream } = waiting;
    const pieces = createPieces(PIPELINED_PIECES, PIPELINED_PIECE_BYTES);
    await sendParts(waiting, [unframedHead("second"), ...pieces]);
    upstream.pause();
    upstream.end();
    await sleep(resetAfterMs);
    await resetAndWait(waiting.fixture.agent, upstream);
    const second = (await waiting.endFirst()).responses[1];
    const received = countPieces(second?.body ?? "");
    const isWhole = received === PIPELINED_PIECES;
    ok(!second?.isComplete || isWhole, `Received ${received} pieces`);
  });
}

test("a pipelined stream of many small pieces that was received whole arrives whole behind the first", async () => {
  // Guards against a second response that is cut or never comes.
  await using waiting = await openWaitingResponse();
  const pieces = createPieces(SMALL_PIECES, SMALL_PIECE_BYTES);
  const chunks = pieces.map(chunk).join("");
  await sendParts(waiting, [streamHead("second") + chunks + CLOSING_CHUNK]);
  await resetAndWait(waiting.fixture.agent, waiting.upstream);
  const read = await waiting.endFirst();
  deepStrictEqual(summarize(read), [[true, 1], [true, SMALL_PIECES]]);
});

test("a pipelined stream of many small pieces that arrive one by one is whole or seen as truncated", async () => {
  // Guards against a caller that waits for a second response that never comes.
  await using waiting = await openWaitingResponse();
  const pieces = createPieces(SMALL_PIECES, SMALL_PIECE_BYTES);
  await sendParts(waiting, [
    streamHead("second"),
    ...pieces.map(chunk),
    CLOSING_CHUNK,
  ]);
  await resetAndWait(waiting.fixture.agent, waiting.upstream);
  const { responses, isClosed } = await waiting.endFirst();
  const second = responses[1];
  ok(isClosed || countPieces(second?.body ?? "") === SMALL_PIECES);
  ok(!isClosed || !second?.isComplete);
});
