import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import {
  type Behaviour,
  type CallerResponse,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import {
  createSilentStream,
  createSoundStream,
  rejectNotRun,
  removeId,
  type Silence,
  type StreamingUpstream,
  WHOLE_STREAM,
} from "../testing/silent_upstreams.ts";

/** A silence after which an upstream goes on, in the middle of a stream. */
const shortSilence: Silence = { before: "next-event", lasts: 1_800 };

/** Limit on how often a stream is sent. */
const MAX_ATTEMPTS = 3;

const stream = {
  kind: "stream",
  targetMs: 400,
  pauseTargetMs: 200,
  timeoutMs: 4_000,
} as const;

function createStreamFixture(
  behaviours: readonly Behaviour[],
): Promise<ForwardFixture> {
  return createForwardFixture(behaviours, stream);
}

function assertWhole(res: CallerResponse, body = WHOLE_STREAM): void {
  deepStrictEqual([res.status, res.body, res.isTruncated], [200, body, false]);
}

/** Asserts that the stream ended as a whole at the upstream that began it. */
async function assertGoesOn(
  fixture: ForwardFixture,
  first: StreamingUpstream,
): Promise<void> {
  assertWhole(await fixture.call());
  deepStrictEqual(first.requests.length, 1);
}

test("a stream is not cut while its only upstream is silent for a time", async () => {
  const first = createSilentStream(shortSilence);
  await using fixture = await createStreamFixture([first.behaviour]);
  await assertGoesOn(fixture, first);
});

test("a stream whose only upstream is silent is not cut beside a change of the configuration", async () => {
  const first = createSilentStream(shortSilence);
  await using fixture = await createStreamFixture([first.behaviour]);
  void first.isSilent.then(() =>
    fixture.applyConfiguration({ targetMs: stream.targetMs * 2 })
  );
  await assertGoesOn(fixture, first);
});

test("a stream of a silent upstream is not cut when the configuration leaves no other", async () => {
  const first = createSilentStream(shortSilence);
  const other = createSoundStream();
  await using fixture = await createStreamFixture([
    first.behaviour,
    other.behaviour,
  ]);
  void first.isSilent.then(() =>
    fixture.applyConfiguration({ allowedRegions: ["abuja"] })
  );
  await assertGoesOn(fixture, first);
  deepStrictEqual(other.requests.length, 0);
});

test("a stream of a silent upstream is not cut when the other upstream rejects it", async () => {
  const first = createSilentStream(shortSilence);
  await using fixture = await createStreamFixture([
    first.behaviour,
    rejectNotRun,
  ]);
  await assertGoesOn(fixture, first);
});

test("a stream of a silent upstream is not cut when no retry is left", async () => {
  const first = createSilentStream(shortSilence);
  const other = createSoundStream();
  await using fixture = await createStreamFixture([
    first.behaviour,
    other.behaviour,
  ]);
  fixture.controls.hasRetries = false;
  await assertGoesOn(fixture, first);
  deepStrictEqual(other.requests.length, 0);
});

test("a stream of a silent upstream is not cut at the limit on attempts", async () => {
  const first = createSilentStream(shortSilence);
  await using fixture = await createStreamFixture([
    ...Array.from({ length: MAX_ATTEMPTS - 1 }, () => rejectNotRun),
    first.behaviour,
    createSoundStream().behaviour,
  ]);
  await assertGoesOn(fixture, first);
});

test("a stream without event ids is not cut while its upstream is silent for a time", async () => {
  const first = createSilentStream(shortSilence, { hasEventIds: false });
  await using fixture = await createStreamFixture([
    first.behaviour,
    createSoundStream().behaviour,
  ]);
  const events = WHOLE_STREAM.split("\n\n").map(removeId).join("\n\n");
  assertWhole(await fixture.call(), events);
});
