import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createForwardFixture } from "../testing/forward_fixture.ts";
import {
  createSilentStream,
  createSoundStream,
  rejectNotRun,
  type Silence,
} from "../testing/silent_upstreams.ts";
import {
  assertStreamGoesOn,
  createStreamFixture,
  streamRoute,
} from "../testing/stream_fixture.ts";

/** A silence after which an upstream goes on, in the middle of a stream. */
const shortSilence: Silence = { before: "next-event", lasts: 1_800 };

/** An address at which nobody listens. */
const REFUSING_ADDRESS = "127.0.0.1:1";

/** Requests that an upstream of the fixture can run at once. */
const SLOTS = 48;

test("a stream of a silent upstream is not cut when the other upstream rejects it", async () => {
  const first = createSilentStream(shortSilence);
  await using fixture = await createStreamFixture([
    first.behaviour,
    rejectNotRun,
  ]);
  await assertStreamGoesOn(fixture, { first });
});

test("a stream of a silent upstream is not cut when the other upstream refuses connections", async () => {
  const first = createSilentStream(shortSilence);
  await using fixture = await createStreamFixture([first.behaviour], {
    lastAddresses: [REFUSING_ADDRESS],
  });
  await assertStreamGoesOn(fixture, { first });
});

test("a stream of a silent upstream is not cut when the queue has no room at the other upstream", async () => {
  const first = createSilentStream(shortSilence);
  const other = createSoundStream();
  await using fixture = await createForwardFixture(
    [first.behaviour, other.behaviour],
    { ...streamRoute, hasPrompts: true },
  );
  using _passes = fixture.startSchedulingPasses();
  void first.isSilent.then(() => fixture.controls.inFlight = SLOTS);
  await assertStreamGoesOn(fixture, { first, other });
});

test("a prompt whose upstream is silent counts once in what its team asks for", async () => {
  const first = createSilentStream(shortSilence);
  const other = createSoundStream();
  await using fixture = await createForwardFixture(
    [first.behaviour, other.behaviour],
    { ...streamRoute, hasPrompts: true },
  );
  using _passes = fixture.startSchedulingPasses();
  void first.isSilent.then(() => fixture.controls.inFlight = SLOTS);
  await fixture.call();
  deepStrictEqual(fixture.askedTokens.length, 1);
});
