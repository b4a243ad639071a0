import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import type { Route } from "../routing/mod.ts";
import { createForwardFixture } from "../testing/forward_fixture.ts";
import { createLateAnswer } from "../testing/silent_upstreams.ts";
import { startStalledListeners } from "../testing/stalled_listeners.ts";

/** Time for which an upstream accepts nothing behind a body, in ms. */
const SHORT_STALL_MS = 1_000;

/** Longer than four time-outs of connections, in ms. */
const LONG_STALL_MS = 2_300;

/** Number of upstreams that accept nothing. */
const STALLED_UPSTREAMS = 4;

const call = { kind: "idempotent", isResumable: false } as const;

/** Shorter than the longer stall, in ms. */
const CALL_TIMEOUT_MS = 1_600;

async function assertBodyIsWhole(route: Partial<Route>): Promise<void> {
  await using stalled = await startStalledListeners(1, {
    when: "after-a-body",
    stallsMs: SHORT_STALL_MS,
  });
  const preferredAddresses = stalled.addresses;
  await using fixture = await createForwardFixture([], route, {
    preferredAddresses,
  });
  const { status, body, isTruncated } = await fixture.call();
  const whole = [200, "id: 1\ndata: whole\n\n", false];
  deepStrictEqual([status, body, isTruncated], whole);
}

test("a whole body without a length is not discarded when its upstream accepts nothing for a time", async () => {
  await assertBodyIsWhole({ kind: "at-most-once", isResumable: false });
});

test("a whole stream without a length is not cut when its upstream accepts nothing for a time", async () => {
  await assertBodyIsWhole({ kind: "stream" });
});

test("a call does not wait for the proof of its body while another upstream answers", async () => {
  await using stalled = await startStalledListeners(1, {
    when: "after-a-body",
    stallsMs: LONG_STALL_MS,
  });
  const preferredAddresses = stalled.addresses;
  const route = { ...call, timeoutMs: CALL_TIMEOUT_MS };
  await using fixture = await createForwardFixture(
    [createLateAnswer(0)],
    route,
    { preferredAddresses },
  );
  const { status, body } = await fixture.call();
  deepStrictEqual([status, body], [200, "whole"]);
});

test("a request is not refused by upstreams that accept nothing while another one does", async () => {
  await using stalled = await startStalledListeners(STALLED_UPSTREAMS, {
    when: "at-start",
    stallsMs: LONG_STALL_MS,
  });
  const preferredAddresses = stalled.addresses;
  await using fixture = await createForwardFixture(
    [createLateAnswer(0)],
    call,
    { preferredAddresses },
  );
  const { status, body } = await fixture.call();
  deepStrictEqual([status, body], [200, "whole"]);
});
