import { test } from "node:test";
import {
  createSilentStream,
  createSoundStream,
  rejectNotRun,
  removeId,
  type Silence,
  WHOLE_STREAM,
} from "../testing/silent_upstreams.ts";
import {
  assertStreamGoesOn,
  assertWholeStream,
  createStreamFixture,
  streamRoute,
} from "../testing/stream_fixture.ts";

/** A silence after which an upstream goes on, in the middle of a stream. */
const shortSilence: Silence = { before: "next-event", lasts: 1_800 };

/** Limit on how often a stream is sent. */
const MAX_ATTEMPTS = 3;

test("a stream is not cut while its only upstream is silent for a time", async () => {
  const first = createSilentStream(shortSilence);
  await using fixture = await createStreamFixture([first.behaviour]);
  await assertStreamGoesOn(fixture, { first });
});

test("a stream whose only upstream is silent is not cut beside a change of the configuration", async () => {
  const first = createSilentStream(shortSilence);
  await using fixture = await createStreamFixture([first.behaviour]);
  void first.isSilent.then(() =>
    fixture.applyConfiguration({ targetMs: streamRoute.targetMs * 2 })
  );
  await assertStreamGoesOn(fixture, { first });
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
  await assertStreamGoesOn(fixture, { first, other });
});

test("a stream of a silent upstream is not cut when no retry is left", async () => {
  const first = createSilentStream(shortSilence);
  const other = createSoundStream();
  await using fixture = await createStreamFixture([
    first.behaviour,
    other.behaviour,
  ]);
  fixture.controls.hasRetries = false;
  await assertStreamGoesOn(fixture, { first, other });
});

test("a stream of a silent upstream is not cut at the limit on attempts", async () => {
  const first = createSilentStream(shortSilence);
  await using fixture = await createStreamFixture([
    ...Array.from({ length: MAX_ATTEMPTS - 1 }, () => rejectNotRun),
    first.behaviour,
    createSoundStream().behaviour,
  ]);
  await assertStreamGoesOn(fixture, { first });
});

test("a stream without event ids is not cut while its upstream is silent for a time", async () => {
  const first = createSilentStream(shortSilence, { hasEventIds: false });
  await using fixture = await createStreamFixture([
    first.behaviour,
    createSoundStream().behaviour,
  ]);
  const events = WHOLE_STREAM.split("\n\n").map(removeId).join("\n\n");
  assertWholeStream(await fixture.call(), events);
});
