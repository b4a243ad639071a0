import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { CLOSING_CHUNK } from "../testing/held_upstream.ts";
import { chunk, streamHead, unframedHead } from "../testing/raw_responses.ts";

const once = { kind: "stream", isResumable: false } as const;
const resumable = { kind: "stream", isResumable: true } as const;

const EVENT = "id: 1\ndata: a\n\n";

/** Stops behind its head, and closes the connection in order. */
const stopsBehindHead: Behaviour = (socket, { id }) =>
  void socket.end(unframedHead(id));

/** Sends one event, and ends as complete. */
const sound: Behaviour = (socket, { id }) =>
  void socket.write(streamHead(id) + chunk(EVENT) + CLOSING_CHUNK);

test("a stream without a length that ends before its first event is not passed on as complete", async () => {
  // Guards against an upstream that stops behind its head and closes in order.
  await using fixture = await createForwardFixture([stopsBehindHead], once);
  strictEqual((await fixture.call()).status, 502);
});

test("a stream that may be resumed goes to another upstream if it ends before its first event", async () => {
  await using fixture = await createForwardFixture(
    [stopsBehindHead, sound],
    resumable,
  );
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body], [200, EVENT]);
});

test("a stream without events whose framing marks its end is passed on as complete", async () => {
  // Guards against a success that is replaced although its end is proven.
  await using fixture = await createForwardFixture([
    (socket, { id }) => void socket.write(streamHead(id) + CLOSING_CHUNK),
  ], once);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body, res.isTruncated], [200, "", false]);
});

test("a resumed stream without a length that ends before a further event is not passed on as complete", async () => {
  // Guards against an upstream that stops behind its head as a stream goes on there.
  await using fixture = await createForwardFixture([
    (socket, { id }) => {
      const begun = streamHead(id) + chunk(EVENT);
      socket.write(begun, () => socket.resetAndDestroy());
    },
    stopsBehindHead,
  ], resumable);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body, res.isTruncated], [200, EVENT, true]);
});
