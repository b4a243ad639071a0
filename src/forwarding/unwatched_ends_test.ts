import { deepStrictEqual, ok, strictEqual } from "node:assert";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import {
  createHeldUpstream,
  createPiece,
  waitUntil,
} from "../testing/held_upstream.ts";
import { openSlowCaller, type RawResponse } from "../testing/raw_callers.ts";
import { answer, unframedHead } from "../testing/raw_responses.ts";

const once = { kind: "at-most-once", isResumable: false } as const;
const plain = { kind: "idempotent", isResumable: false } as const;
const stream = { kind: "stream", isResumable: false } as const;

/** Time in which another process may have taken an upstream's place, in ms. */
const RESTARTED_MS = 1_500;

/** A time in which none can have, in ms. */
const SHORT_MS = 200;

/** Bytes of each event that fills the caller's connection. */
const PIECE_BYTES = 10_000;

/** Ends a body without a length in order, and accepts connections. */
const endsInOrder: Behaviour = (socket, { id }) =>
  void socket.end(`${unframedHead(id)}id: 1\ndata: part\n\n`);

test("a body without a length whose end a stalled host reads late is not passed on as complete", async () => {
  // Guards against a process that was killed and is back before the host reads.
  await using fixture = await createForwardFixture([endsInOrder], once);
  fixture.controls.stalledMs = RESTARTED_MS;
  strictEqual((await fixture.call()).status, 502);
  fixture.controls.stalledMs = SHORT_MS;
  strictEqual((await fixture.call()).status, 200);
});

test("a read whose end a stalled host reads late is sent again", async () => {
  await using fixture = await createForwardFixture([
    endsInOrder,
    (socket, { id }) => socket.write(answer(id, "done")),
  ], plain);
  fixture.controls.stalledMs = RESTARTED_MS;
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body], [200, "done"]);
});

test("a stream whose end a stalled host reads late does not end as complete", async () => {
  await using fixture = await createForwardFixture([endsInOrder], stream);
  fixture.controls.stalledMs = RESTARTED_MS;
  ok((await fixture.call()).isTruncated);
});

/** Sends events until the relay has been paused, and then some more. */
async function sendUntilFull(
  fixture: ForwardFixture,
  upstream: Socket,
): Promise<void> {
  const isPaused = () => fixture.responses[0]?.writableNeedDrain === true;
  let sent = 0;
  const send = () => upstream.write(createPiece(++sent, PIECE_BYTES));
  await waitUntil(() => send() && isPaused(), "pause of the relay");
  for (let more = 0; more < 20; more++) send();
}

/** The upstream's connection ends while a caller doesn't read for a while. */
async function readAfterPause(pauseMs: number): Promise<RawResponse> {
  const held = createHeldUpstream();
  await using fixture = await createForwardFixture([held.behaviour], stream);
  using caller = openSlowCaller(fixture.port);
  const upstream = await held.waitForRequest("slow");
  upstream.write(unframedHead("slow"));
  await sendUntilFull(fixture, upstream);
  upstream.end();
  await sleep(pauseMs);
  return await caller.read();
}

test("a stream whose end is read late for a slow caller does not end as complete", async () => {
  // Guards against a process that was killed and is back before the caller reads.
  strictEqual((await readAfterPause(RESTARTED_MS)).isComplete, false);
});

test("a stream whose caller pauses for a moment ends as complete", async () => {
  strictEqual((await readAfterPause(SHORT_MS)).isComplete, true);
});
