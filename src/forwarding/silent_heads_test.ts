import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import {
  createLateAnswer,
  createSilentStream,
  createSoundStream,
  rejectNotRun,
  type Silence,
} from "../testing/silent_upstreams.ts";
import {
  assertWholeStream,
  createStreamFixture,
} from "../testing/stream_fixture.ts";

/** A silence before the head of a stream, after which the upstream goes on. */
const shortSilence: Silence = { before: "head", lasts: 1_800 };

/** A silence before the answer to a call, in ms, and the call's deadline. */
const CALL_SILENCE_MS = 1_300;
const CALL_DEADLINE_MS = 2_000;

/** The longest silence of an upstream that gets a call at half time, in ms. */
const SECOND_SILENCE_MS = 800;

const call = {
  kind: "idempotent",
  isResumable: false,
  timeoutMs: CALL_DEADLINE_MS,
} as const;

async function assertStreamIsWhole(
  behaviours: readonly Behaviour[],
  onFixture: (fixture: ForwardFixture) => void = () => {},
): Promise<void> {
  await using fixture = await createStreamFixture(behaviours);
  onFixture(fixture);
  assertWholeStream(await fixture.call());
}

async function assertCallIsAnswered(
  behaviours: readonly Behaviour[],
  maxAttempts = 2,
): Promise<void> {
  const route = { ...call, maxAttempts };
  await using fixture = await createForwardFixture(behaviours, route);
  const { status, body } = await fixture.call();
  deepStrictEqual([status, body], [200, "whole"]);
}

test("a stream is not refused while its only upstream is silent before the head", async () => {
  const { behaviour } = createSilentStream(shortSilence);
  await assertStreamIsWhole([behaviour]);
});

test("a stream is not refused when its upstream is silent before the head and the other rejects it", async () => {
  const { behaviour } = createSilentStream(shortSilence);
  await assertStreamIsWhole([behaviour, rejectNotRun]);
});

test("a stream is not refused when its upstream is silent before the head and no retry is left", async () => {
  const { behaviour } = createSilentStream(shortSilence);
  const other = createSoundStream();
  await assertStreamIsWhole(
    [behaviour, other.behaviour],
    ({ controls }) => controls.hasRetries = false,
  );
  strictEqual(other.requests.length, 0);
});

test("a call is not refused at half time while its only upstream is silent", async () => {
  await assertCallIsAnswered([createLateAnswer(CALL_SILENCE_MS)]);
});

test("a call is not refused when its upstream is silent and the other rejects it", async () => {
  await assertCallIsAnswered([createLateAnswer(CALL_SILENCE_MS), rejectNotRun]);
});

test("a call is not refused when two upstreams are silent one after the other", async () => {
  await assertCallIsAnswered([
    createLateAnswer(CALL_SILENCE_MS),
    createLateAnswer(SECOND_SILENCE_MS),
  ], 3);
});

test("a call does not wait until its deadline for an upstream that is dark", async () => {
  await assertCallIsAnswered([() => {}, createLateAnswer(0)]);
});
