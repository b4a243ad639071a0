import { deepStrictEqual, ok } from "node:assert";
import { test } from "node:test";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { answer, streamHead } from "../testing/raw_responses.ts";
import {
  createEvent,
  createEventTexts,
  createPause,
  STREAM_END,
} from "../testing/stream_events.ts";
import { rejectNotRun } from "../testing/silent_upstreams.ts";
import { createStreamFixture } from "../testing/stream_fixture.ts";

/** An idempotent call is sent to a second upstream after half of its time. */
const call = {
  kind: "idempotent",
  isResumable: false,
  timeoutMs: 1_600,
} as const;

/** Longer than the time without an event after which another is sought, in ms. */
const SHORT_SILENCE_MS = 1_750;

/** A silence that is just short enough for callers, in ms. */
const LONG_SILENCE_MS = 1_950;

/** Time without an event after which a caller abandons a stream, in ms. */
const CALLER_ABANDON_MS = 2_000;

/** Answers with this status after a time, in ms. */
function answers(
  afterMs: number,
  body: string,
  status?: string,
): Behaviour {
  return (socket, { id }) =>
    void setTimeout(() => socket.write(answer(id, body, status)), afterMs);
}

async function assertCallIsAnswered(
  behaviours: readonly Behaviour[],
  expected: string,
  maxAttempts = 2,
): Promise<void> {
  const route = { ...call, maxAttempts };
  await using fixture = await createForwardFixture(behaviours, route);
  const { status, body } = await fixture.call();
  deepStrictEqual([status, body], [200, expected]);
}

async function assertStreamIsWhole(
  other: Behaviour,
  silenceMs = SHORT_SILENCE_MS,
): Promise<void> {
  const first = createPause(silenceMs);
  await using fixture = await createStreamFixture([first, other]);
  const { body, isTruncated } = await fixture.call();
  deepStrictEqual([body, isTruncated], [createEventTexts(1, 2, 3), false]);
}

test("a stream of a silent upstream is not cut when the other upstream answers with a failure", async () => {
  await assertStreamIsWhole(answers(0, "no", "404 Not Found"));
});

test("a stream of a silent upstream is not cut when the other upstream breaks off behind its head", async () => {
  await assertStreamIsWhole((socket, { id }) => {
    socket.write(streamHead(id));
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
});

test("a call of a silent upstream is not refused when the other upstream breaks off behind its head", async () => {
  await assertCallIsAnswered([
    answers(1_000, "first"),
    (socket, { id }) => {
      socket.write(answer(id, "second").slice(0, -1));
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
  ], "first");
});

test("a failure of a silent upstream does not end the call that another one answers", async () => {
  await assertCallIsAnswered([
    answers(900, "no", "500 Failed"),
    answers(300, "second"),
  ], "second");
});

test("a rejection of a silent upstream does not end the call that another one answers", async () => {
  await assertCallIsAnswered([
    (socket, request) =>
      void setTimeout(() => rejectNotRun(socket, request), 900),
    answers(300, "second"),
  ], "second");
});

test("a call does not wait until its deadline for two upstreams that are dark", async () => {
  const dark: Behaviour = () => {};
  await assertCallIsAnswered([dark, dark, answers(0, "third")], "third", 3);
});

test("a stream of a silent upstream is not cut when the other upstream rejects it after 300 ms", async () => {
  const rejectsLate: Behaviour = (socket, request) =>
    void setTimeout(() => rejectNotRun(socket, request), 300);
  await assertStreamIsWhole(rejectsLate, LONG_SILENCE_MS);
});

test("a caller does not abandon a stream whose upstream is dark in the middle of an event", async () => {
  await using fixture = await createStreamFixture([
    (socket, { id }) => {
      socket.write(streamHead(id) + createEvent(1) + createEvent(2));
      setTimeout(() => socket.write(createEvent(3).slice(0, 8)), 1_700);
    },
    (socket, { id }) =>
      void setTimeout(
        () => socket.write(streamHead(id) + createEvent(3) + STREAM_END),
        180,
      ),
  ]);
  const res = await fixture.call();
  deepStrictEqual([res.body, res.isTruncated], [
    createEventTexts(1, 2, 3),
    false,
  ]);
  ok(res.longestWaitMs < CALLER_ABANDON_MS, `Waited ${res.longestWaitMs} ms`);
});
