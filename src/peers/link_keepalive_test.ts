/**
 * Tests of when links are asked and given up.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createLinkKeepalive } from "./link_keepalive.ts";
import { defaultPeerLinkOptions } from "./peer_link.ts";

const {
  pingIntervalMs,
  idlePingIntervalMs,
  pongTimeoutMs,
} = defaultPeerLinkOptions;

/** Runs turns; `answers` says whether the other end answers an ask. */
function run(
  untilMs: number,
  options: {
    isInUse(nowMs: number): boolean;
    answers(nowMs: number): boolean;
  },
) {
  const keepalive = createLinkKeepalive(defaultPeerLinkOptions, 0);
  keepalive.recordReceived(1);
  let pings = 0;
  for (let nowMs = pingIntervalMs; nowMs <= untilMs; nowMs += pingIntervalMs) {
    const decision = keepalive.decide(nowMs, options.isInUse(nowMs));
    if (decision.kind === "give-up") return { pings, closedMs: nowMs };
    if (decision.kind !== "ask") continue;
    pings++;
    if (options.answers(nowMs)) keepalive.recordReceived(nowMs + 1);
  }
  return { pings, closedMs: undefined };
}

test("a link that goes silent while a request waits is given up within 5 s", () => {
  // A caller's request waits for a grant. The connection to the owner goes
  // silent for good: the grant never comes, and no error either. The host must
  // notice and dial anew, or the request waits until its deadline.
  fc.assert(fc.property(fc.nat({ max: 60_000 }), (silentMs) => {
    const { closedMs } = run(120_000, {
      isInUse: () => true,
      answers: (nowMs) => nowMs < silentMs,
    });
    assert.ok(closedMs !== undefined && closedMs >= silentMs);
    assert.ok(closedMs <= silentMs + 2 * pingIntervalMs + pongTimeoutMs);
  }));
});

test("a silent link is found soon after something comes to need it", () => {
  const inUseMs = 50_000;
  const { closedMs } = run(120_000, {
    isInUse: (nowMs) => nowMs >= inUseMs,
    answers: (nowMs) => nowMs < inUseMs - 500,
  });
  assert.ok(closedMs! <= inUseMs + 2 * pingIntervalMs + pongTimeoutMs);
});

test("a link that nothing needs is asked seldom, and not given up", () => {
  const { pings, closedMs } = run(600_000, {
    isInUse: () => false,
    answers: () => true,
  });
  assert.equal(closedMs, undefined);
  assert.ok(pings <= 2 * 600_000 / idlePingIntervalMs);
});

test("a link whose greeting is not answered is given up", () => {
  const keepalive = createLinkKeepalive(defaultPeerLinkOptions, 0);
  assert.equal(keepalive.decide(pongTimeoutMs - 1, true).kind, "wait");
  assert.equal(keepalive.decide(pongTimeoutMs, true).kind, "give-up");
});
