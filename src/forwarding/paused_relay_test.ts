import { deepStrictEqual, ok } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createForwardFixture } from "../testing/forward_fixture.ts";
import {
  createHeldUpstream,
  createPiece,
  sendUntilPaused,
  waitUntil,
} from "../testing/held_upstream.ts";
import { openSlowCaller } from "../testing/raw_callers.ts";
import { chunk, streamHead } from "../testing/raw_responses.ts";

const CLOSING_CHUNK = "0\r\n\r\n";

/** Longest pause of an upstream that is in time, in ms. */
const PAUSE_TARGET_MS = 500;

/** Time for which the caller reads nothing, in ms. */
const CALLER_PAUSE_MS = 800;

test("a pause of a slow caller is not sampled as a late pause of the upstream", async () => {
  // Guards against slow callers that reduce the prefill limit of all hosts.
  const held = createHeldUpstream();
  await using fixture = await createForwardFixture([held.behaviour], {
    kind: "stream",
    isResumable: false,
    pauseTargetMs: PAUSE_TARGET_MS,
  });
  using caller = openSlowCaller(fixture.port, "slow");
  const upstream = await held.waitForRequest("slow");
  upstream.write(streamHead("slow"));
  const sent = await sendUntilPaused(fixture, upstream);
  upstream.write(chunk(createPiece(sent + 1, 10)) + CLOSING_CHUNK);
  await sleep(CALLER_PAUSE_MS);
  ok((await caller.read()).isComplete);
  await waitUntil(
    () => fixture.recordedPacing.pauses.length > 0,
    "sample of the response",
  );
  deepStrictEqual(fixture.recordedPacing.pauses, [false]);
});
