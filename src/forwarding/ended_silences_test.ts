import { ok } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { chunk, streamHead } from "../testing/raw_responses.ts";
import { createStreamFixture } from "../testing/stream_fixture.ts";

/** Longer than the time without an event after which another is sought, in ms. */
const SILENCE_MS = 1_800;

/** Longest time for which a host may hold a request that has ended, in ms. */
const MAX_HELD_MS = 250;

const EVENT = chunk("id: 1\ndata: 1\n\n");
const END = "0\r\n\r\n";

test("a request whose only upstream breaks off during a silence is not held until its deadline", async () => {
  await using fixture = await createStreamFixture([(socket, { id }) => {
    socket.write(streamHead(id) + EVENT);
    setTimeout(() => socket.resetAndDestroy(), SILENCE_MS);
  }]);
  const startMs = performance.now();
  const { isTruncated } = await fixture.call();
  ok(isTruncated);
  const tookMs = performance.now() - startMs;
  ok(tookMs < SILENCE_MS + MAX_HELD_MS, `Took ${tookMs} ms`);
});

test("a host is not busy with a stream that ended during a silence", async () => {
  await using fixture = await createStreamFixture([(socket, { id }) => {
    socket.write(streamHead(id) + EVENT);
    setTimeout(() => socket.write(END), SILENCE_MS);
  }]);
  const { isTruncated } = await fixture.call();
  ok(!isTruncated);
  await sleep(MAX_HELD_MS);
  ok(fixture.log.some((each) => each.event === "request-ended"));
});
