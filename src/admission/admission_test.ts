/**
 * Tests of admissions, refusals and the retry times of refused callers.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createManualClock } from "../core/mod.ts";
import type { AdmittedRequest } from "../types.ts";
import { HOST_QUEUE_LIMIT } from "./admission.ts";
import { createBacklog } from "./backlog.ts";

function createFixture() {
  const clock = createManualClock(1_000);
  const backlog = createBacklog({ clock, random: () => 0.5 });
  const givenUp: AdmittedRequest[] = [];
  let lastId = 0;

  function createRequest(team: string, timeoutMs = 60_000): AdmittedRequest {
    lastId++;
    return {
      id: String(lastId),
      team,
      service: "drafting-model",
      operation: "draft",
      arrivedMs: clock.monotonicMs(),
      deadlineMs: clock.monotonicMs() + timeoutMs,
      expectedCost: 1,
      fingerprint: "",
    };
  }

  function decide(req: AdmittedRequest, bodyBytes = 100, maxQueued = 20_000) {
    return backlog.decide({ req, bodyBytes, maxQueued, isDraining: false });
  }

  /** Decides on a new request and enqueues it if it is admitted. */
  function arrive(team: string, bodyBytes = 100, timeoutMs = 60_000) {
    const req = createRequest(team, timeoutMs);
    const decision = decide(req, bodyBytes);
    if (decision.kind === "admitted") {
      backlog.enqueue(req, bodyBytes, () => givenUp.push(req));
    }
    return { req, decision };
  }
  return { clock, backlog, createRequest, decide, arrive, givenUp };
}

test("teams that send without limit leave room for another, and memory is bounded", () => {
  // Guards against a limit for the whole host only. A team that sends large
  // requests without end would fill it, and other teams that send rarely would
  // be refused.
  const body = fc.integer({ min: 1, max: 1_000_000 });
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.constantFrom("a", "b", "c"), body), {
        minLength: 200,
        maxLength: 600,
      }),
      (arrivals) => {
        const { arrive, backlog, decide, createRequest } = createFixture();
        for (const [team, bytes] of arrivals) arrive(team, bytes);
        assert.ok(backlog.getUse().bytes <= HOST_QUEUE_LIMIT.bytes);
        const small = decide(createRequest("quiet"), 1_000_000);
        assert.equal(small.kind, "admitted");
      },
    ),
    { numRuns: 30 },
  );
});

test("the number of waiting requests is bounded over all teams", () => {
  const { arrive, backlog } = createFixture();
  for (let team = 0; team < 40; team++) {
    for (let each = 0; each < 1_000; each++) arrive(`team-${team}`);
  }
  assert.ok(backlog.getUse().requests <= HOST_QUEUE_LIMIT.requests);
});

test("a pause of the callers is not taken for a slow fleet", () => {
  // A team's burst is served, the team sends nothing for ten minutes, and then
  // sends requests with short deadlines. If the pause counted as the gap
  // between two starts, these would be refused although slots are free.
  const { arrive, backlog, clock } = createFixture();
  for (let burst = 0; burst < 3; burst++) {
    const waiting = [1, 2, 3, 4].map(() => arrive("alder").req);
    for (const req of waiting) {
      clock.advance(100);
      backlog.dequeue(req, "started");
    }
    clock.advance(600_000);
  }
  arrive("alder", 100, 2_000);
  assert.equal(arrive("alder", 100, 2_000).decision.kind, "admitted");
});

test("the expected wait is close to the real one for bursts of any size", () => {
  const load = fc.record({
    gapMs: fc.integer({ min: 20, max: 400 }),
    burst: fc.integer({ min: 1, max: 8 }),
  });
  fc.assert(
    fc.property(load, ({ gapMs, burst }) => {
      const { arrive, backlog, clock, decide, createRequest } = createFixture();
      const waiting = Array.from({ length: 40 }, () => arrive("alder").req);
      const rounds = Math.ceil(15_000 / (gapMs * burst));
      for (let round = 0; round < rounds; round++) {
        clock.advance(gapMs * burst);
        for (let each = 0; each < burst; each++) {
          backlog.dequeue(waiting.shift()!, "started");
          waiting.push(arrive("alder", 100, 1e9).req);
        }
      }
      const realMs = 40 * gapMs;
      const longDeadline = decide(createRequest("alder", realMs * 3));
      const shortDeadline = decide(createRequest("alder", realMs * 1.2));
      assert.equal(longDeadline.kind, "admitted");
      assert.equal(shortDeadline.kind, "refused");
      assert.equal(shortDeadline.reason, "deadline-unreachable");
      assert.ok(shortDeadline.retryAfterMs <= Math.max(1_000, realMs * 2.5));
    }),
    { numRuns: 50 },
  );
});

test("a request is given up as soon as its deadline can't be met", () => {
  // Guards against requests that wait for their whole 30 s while all slots
  // stall, so that their callers turn to another service too late.
  const { arrive, backlog, clock, givenUp } = createFixture();
  const served = arrive("alder").req;
  const unreachable = arrive("alder", 100, 30_000).req;
  const longDeadline = arrive("alder", 100, 600_000).req;
  clock.advance(200);
  backlog.dequeue(served, "started");
  let atMs = 0;
  for (; givenUp.length === 0 && atMs < 30_000; atMs += 200) {
    clock.advance(200);
    backlog.sweep();
  }
  assert.deepEqual(givenUp, [unreachable]);
  assert.ok(atMs <= 20_000, `given up after ${atMs} ms`);
  assert.equal(backlog.getUse().requests, 1);
  backlog.dequeue(longDeadline, "gave-up");
  assert.deepEqual(backlog.getUse(), { requests: 0, bytes: 0 });
});

test("a refusal by a full queue gives the time that its backlog needs", () => {
  const { arrive, backlog, clock, decide, createRequest } = createFixture();
  const waiting = Array.from({ length: 30 }, () => arrive("alder").req);
  for (let each = 0; each < 10; each++) {
    clock.advance(500);
    backlog.dequeue(waiting.shift()!, "started");
  }
  const refused = decide(createRequest("alder"), 100, 20);
  assert.equal(refused.kind, "refused");
  assert.ok(refused.retryAfterMs >= 9_000 && refused.retryAfterMs <= 14_000);
});
