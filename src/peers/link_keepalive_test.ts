/**
 * Tests of when links are pinged and considered dead.
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

/**
 * Runs the timer's calls; `answers` tells whether the other end answers a ping.
 */
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

test("a link that fails silently while a request waits is closed within 5 s", () => {
  // A caller's request waits for a grant of a slot. The connection to the
  // slot's owner fails silently, so neither a grant nor an error ever arrives.
  // The host must detect this and reconnect, or the request waits until its
  // deadline.
  fc.assert(fc.property(fc.nat({ max: 60_000 }), (silentMs) => {
    const { closedMs } = run(120_000, {
      isInUse: () => true,
      answers: (nowMs) => nowMs < silentMs,
    });
    assert.ok(closedMs !== undefined && closedMs >= silentMs);
    assert.ok(closedMs <= silentMs + 2 * pingIntervalMs + pongTimeoutMs);
  }));
});

test("a silently failed link is detected soon after it comes into use", () => {
  const inUseMs = 50_000;
  const { closedMs } = run(120_000, {
    isInUse: (nowMs) => nowMs >= inUseMs,
    answers: (nowMs) => nowMs < inUseMs - 500,
  });
  assert.ok(closedMs! <= inUseMs + 2 * pingIntervalMs + pongTimeoutMs);
});

test("an idle link is pinged rarely and stays open", () => {
  const { pings, closedMs } = run(600_000, {
    isInUse: () => false,
    answers: () => true,
  });
  assert.equal(closedMs, undefined);
  assert.ok(pings <= 2 * 600_000 / idlePingIntervalMs);
});

test("a link whose hello is not answered is closed", () => {
  const keepalive = createLinkKeepalive(defaultPeerLinkOptions, 0);
  assert.equal(keepalive.decide(pongTimeoutMs - 1, true).kind, "wait");
  assert.equal(keepalive.decide(pongTimeoutMs, true).kind, "give-up");
});
