import { ok } from "node:assert";
import { test } from "node:test";
import { createForwardFixture } from "../testing/forward_fixture.ts";
import {
  createSilentStream,
  createSoundStream,
  type Silence,
} from "../testing/silent_upstreams.ts";
import {
  assertWholeStream,
  createStreamFixture,
  streamRoute,
} from "../testing/stream_fixture.ts";

/** A silence that shows that the upstream is dark. */
const darkness: Silence = { before: "next-event", lasts: "ever" };

/** Time without an event after which a caller abandons a stream, in ms. */
const CALLER_ABANDON_MS = 2_000;

/** Longer than the time after which an upstream without a byte is avoided, in ms. */
const SLOW_BEGIN_MS = 3_000;

/** Longest time for which two upstreams may work on one stream, in ms. */
const MAX_OVERLAP_MS = 400;

/** Longest time for which a host may hold a stream past its deadline, in ms. */
const MAX_HELD_PAST_DEADLINE_MS = 250;

test("a caller does not abandon a stream whose upstream is dark", async () => {
  const first = createSilentStream(darkness);
  await using fixture = await createStreamFixture([
    first.behaviour,
    createSoundStream().behaviour,
  ]);
  const res = await fixture.call();
  assertWholeStream(res);
  ok(res.longestWaitMs < CALLER_ABANDON_MS, `Waited ${res.longestWaitMs} ms`);
});

test("a caller does not abandon a stream whose upstream is dark before the head", async () => {
  const first = createSilentStream({ ...darkness, before: "head" });
  await using fixture = await createStreamFixture([
    first.behaviour,
    createSoundStream().behaviour,
  ]);
  const res = await fixture.call();
  assertWholeStream(res);
  ok(res.longestWaitMs < CALLER_ABANDON_MS, `Waited ${res.longestWaitMs} ms`);
});

test("a silent upstream does not work on a stream that another one has taken over", async () => {
  const first = createSilentStream(darkness);
  const other = createSoundStream();
  await using fixture = await createStreamFixture([
    first.behaviour,
    other.behaviour,
  ]);
  assertWholeStream(await fixture.call());
  const { arrivedMs } = other.requests[0]!;
  const closedMs = first.requests[0]!.closedMs ?? Infinity;
  ok(closedMs - arrivedMs < MAX_OVERLAP_MS, `Closed at ${closedMs} ms`);
});

test("events of a silent upstream that goes on are not mixed with those of its successor", async () => {
  const first = createSilentStream({ before: "next-event", lasts: 1_700 });
  await using fixture = await createStreamFixture([
    first.behaviour,
    createSoundStream().behaviour,
  ]);
  assertWholeStream(await fixture.call());
});

test("a stream whose only upstream is dark is not held past its deadline", async () => {
  const timeoutMs = 2_200;
  const { behaviour } = createSilentStream(darkness);
  const route = { ...streamRoute, timeoutMs };
  await using fixture = await createForwardFixture([behaviour], route);
  const startMs = performance.now();
  const { isTruncated } = await fixture.call();
  ok(isTruncated);
  const tookMs = performance.now() - startMs;
  ok(tookMs < timeoutMs + MAX_HELD_PAST_DEADLINE_MS, `Took ${tookMs} ms`);
});

test("a caller does not abandon a stream while the other upstream is slow to begin one", async () => {
  const first = createSilentStream(darkness);
  let arrivals = 0;
  const slow = createSilentStream({ before: "head", lasts: SLOW_BEGIN_MS });
  const sound = createSoundStream();
  await using fixture = await createStreamFixture([
    first.behaviour,
    (socket, request) => {
      arrivals++;
      (arrivals === 1 ? slow : sound).behaviour(socket, request);
    },
  ]);
  const call = fixture.call();
  await first.isSilent;
  void fixture.call({ id: "slow" }).catch(() => {});
  const res = await call;
  assertWholeStream(res);
  ok(res.longestWaitMs < CALLER_ABANDON_MS, `Waited ${res.longestWaitMs} ms`);
});
