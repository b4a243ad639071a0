import { deepStrictEqual, match, ok } from "node:assert";
import { test } from "node:test";
import type { Decision } from "../diagnostics/mod.ts";
import { createEndlessUpstream } from "../testing/endless_upstream.ts";
import {
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import { MAX_EVENT_BYTES } from "./event_splitter.ts";

/** Largest number of bytes that the host reads at once. */
const READ_BYTES = 64 * 1024;

const stream = { kind: "stream", isResumable: false } as const;

type FailedAttempt = Extract<Decision, { event: "attempt-failed" }>;

function getFailedAttempts({ log }: ForwardFixture): readonly FailedAttempt[] {
  return log.filter((each) => each.event === "attempt-failed");
}

test("an event without an end is given up at its limit, without suspicion of its content", async () => {
  // Guards against a host whose memory one upstream fills.
  const endless = createEndlessUpstream("event");
  await using fixture = await createForwardFixture(
    [endless.behaviour],
    stream,
  );
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body.includes("data")], [502, false]);
  await endless.waitUntilClosed();
  const [failed] = getFailedAttempts(fixture);
  deepStrictEqual([failed?.kind, failed?.fingerprint], ["broken", undefined]);
  match(failed!.reason, /An event is larger than/);
  ok(failed!.body!.readBytes <= MAX_EVENT_BYTES + READ_BYTES);
  ok(!fixture.log.some((each) => each.event === "content-suspected"));
});
