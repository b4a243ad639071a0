import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { describe, test } from "node:test";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import { answer, streamHead } from "../testing/raw_responses.ts";
import {
  createEvent,
  createEventTexts,
  createPause,
  stopAfterTwoEvents,
  STREAM_END,
} from "../testing/stream_events.ts";

/** An idempotent call is sent to a second upstream after half of this, in ms. */
const CALL_TIMEOUT_MS = 800;

const call = {
  kind: "idempotent",
  isResumable: false,
  timeoutMs: CALL_TIMEOUT_MS,
} as const;

/** Longest time for which two upstreams may work on one stream, in ms. */
const MAX_OVERLAP_MS = 400;

/** Longer than the time without an event after which another is sought, in ms. */
const SILENCE_MS = 1_750;

const rejects: Behaviour = (socket) =>
  socket.write(
    "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
  );

/** Records the connection and does nothing. */
function createIdle(sockets: Socket[]): Behaviour {
  return (socket) => void sockets.push(socket);
}

function findFailures(fixture: ForwardFixture) {
  return fixture.log.flatMap((each) =>
    each.event === "attempt-failed"
      ? [[each.upstream, each.kind, each.next]]
      : []
  );
}

describe("a silent upstream", { concurrency: true }, () => {
  test("a stream whose second upstream rejects it goes on at the first", async () => {
    await using fixture = await createForwardFixture([
      createPause(SILENCE_MS),
      rejects,
    ]);
    const res = await fixture.call();
    deepStrictEqual([res.isTruncated, res.body], [
      false,
      createEventTexts(1, 2, 3),
    ]);
    deepStrictEqual(fixture.arrivals, ["up-0", "up-1"]);
    deepStrictEqual(findFailures(fixture), [[
      "up-1",
      "not-run",
      "keep-other",
    ]]);
  });

  test("a stream that speaks before another takes over brings no event twice", async () => {
    const seconds: Socket[] = [];
    await using fixture = await createForwardFixture([
      createPause(SILENCE_MS - 50),
      (socket, { id }) => {
        seconds.push(socket);
        setTimeout(
          () => socket.write(streamHead(id) + createEvent(3) + STREAM_END),
          250,
        );
      },
    ]);
    const res = await fixture.call();
    deepStrictEqual([res.isTruncated, res.body], [
      false,
      createEventTexts(1, 2, 3),
    ]);
    await sleep(50);
    ok(seconds.every((each) => each.readableEnded || each.destroyed));
  });

  test("no third upstream repeats an event while the first goes on", async () => {
    await using fixture = await createForwardFixture([
      (socket, req) => {
        stopAfterTwoEvents(socket, req);
        setTimeout(() => socket.write(createEvent(3)), SILENCE_MS);
        setTimeout(() => socket.write(STREAM_END), SILENCE_MS + MAX_OVERLAP_MS);
      },
      createIdle([]),
      (socket, { id }) =>
        socket.write(streamHead(id) + createEvent(3) + STREAM_END),
    ], { maxAttempts: 3 });
    const res = await fixture.call();
    deepStrictEqual([res.isTruncated, res.body], [
      false,
      createEventTexts(1, 2, 3),
    ]);
    deepStrictEqual(fixture.arrivals, ["up-0", "up-1"]);
  });

  test("an upstream that has been replaced is soon no longer at work", async () => {
    let closedMs = Infinity;
    let sentMs = Infinity;
    await using fixture = await createForwardFixture([
      (socket, req) => {
        socket.on("end", () => closedMs = performance.now());
        stopAfterTwoEvents(socket, req);
      },
      (socket, { id }) => {
        sentMs = performance.now();
        setTimeout(
          () => socket.write(streamHead(id) + createEvent(3) + STREAM_END),
          700,
        );
      },
    ]);
    const res = await fixture.call();
    deepStrictEqual([res.isTruncated, res.body], [
      false,
      createEventTexts(1, 2, 3),
    ]);
    ok(closedMs - sentMs < MAX_OVERLAP_MS);
    deepStrictEqual(findFailures(fixture), [["up-0", "silent", "resume"]]);
  });

  test("a stream is not taken from one silent upstream to another", async () => {
    const both = createPause(SILENCE_MS);
    await using fixture = await createForwardFixture([both, both]);
    const responses = await Promise.all(
      ["one", "two"].map((id) => fixture.call({ id })),
    );
    ok(responses.every((each) => !each.isTruncated));
    deepStrictEqual([...fixture.arrivals].sort(), ["up-0", "up-1"]);
  });

  test("a stream goes on at the second upstream if the first breaks off", async () => {
    await using fixture = await createForwardFixture([
      (socket, req) => {
        stopAfterTwoEvents(socket, req);
        setTimeout(() => socket.resetAndDestroy(), 1_700);
      },
      (socket, { id }) => {
        setTimeout(
          () => socket.write(streamHead(id) + createEvent(3) + STREAM_END),
          180,
        );
      },
    ]);
    const res = await fixture.call();
    deepStrictEqual([res.isTruncated, res.body], [
      false,
      createEventTexts(1, 2, 3),
    ]);
    deepStrictEqual(fixture.arrivals, ["up-0", "up-1"]);
  });

  test("a call is answered by the first upstream while the second is silent", async () => {
    const seconds: Socket[] = [];
    await using fixture = await createForwardFixture([
      (socket, { id }) =>
        void setTimeout(() => socket.write(answer(id, "late")), 650),
      createIdle(seconds),
    ], call);
    const res = await fixture.call();
    deepStrictEqual([res.status, res.body], [200, "late"]);
    deepStrictEqual(fixture.arrivals, ["up-0", "up-1"]);
    await sleep(50);
    ok(seconds.every((each) => each.readableEnded || each.destroyed));
  });

  test("the failure of a second upstream is not passed on while the first is at work", async () => {
    await using fixture = await createForwardFixture([
      (socket, { id }) =>
        void setTimeout(() => socket.write(answer(id, "late")), 650),
      (socket, { id }) => socket.write(answer(id, "no", "500 Failed")),
    ], call);
    const res = await fixture.call();
    deepStrictEqual([res.status, res.body], [200, "late"]);
  });

  test("a call whose first upstream breaks off is answered by the second", async () => {
    await using fixture = await createForwardFixture([
      (socket) => void setTimeout(() => socket.resetAndDestroy(), 500),
      (socket, { id }) =>
        void setTimeout(() => socket.write(answer(id, "second")), 250),
    ], call);
    const res = await fixture.call();
    deepStrictEqual([res.status, res.body], [200, "second"]);
    deepStrictEqual(fixture.arrivals, ["up-0", "up-1"]);
  });

  test("a caller that leaves ends both attempts and their load", async () => {
    const sockets: Socket[] = [];
    const idle = createIdle(sockets);
    await using fixture = await createForwardFixture([idle, idle], call);
    await fixture.call({ disconnectAfterMs: 600 }).catch(() => {});
    await sleep(50);
    strictEqual(sockets.length, 2);
    ok(sockets.every((each) => each.readableEnded || each.destroyed));
    const inFlight = ["up-0", "up-1"].map(fixture.health.getInFlight);
    deepStrictEqual(inFlight, [0, 0]);
  });
});
