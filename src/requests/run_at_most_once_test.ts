/**
 * Tests that a non-idempotent request runs at most once, and that its outcome
 * is "not-run" only if it did not run: with lost replies, an unavailable table
 * service, concurrent hosts, and hosts that die between any two calls.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import fc from "fast-check";
import type { Claims } from "../claims/mod.ts";
import { checkHistory, documentedLimits } from "../proof/mod.ts";
import { type IoFault, type IoPlan, runUntilIdle } from "../testing/fake_io.ts";
import {
  createFakeEnvironment,
  createFakeHost,
  createFakeUpstreams,
  type FakeHost,
  sendBooking,
  type SendResult,
} from "../testing/fake_request_host.ts";
import { runAtMostOnce } from "./run_at_most_once.ts";

const fault = fc.constantFrom<IoFault>(
  "none",
  "none",
  "refused",
  "lost-before",
  "lost-after",
  "late",
);

const plan: fc.Arbitrary<IoPlan> = fc.record({
  faults: fc.array(fault, { maxLength: 8 }),
  crashesAtCall: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 6 })),
});

/**
 * Scheduler steps in a second of a time-out: with 1 it may expire at any
 * moment, with 15 rarely before other events.
 */
const timeoutSteps = fc.constantFrom(1, 15);

const noFaults: IoPlan = { faults: [], crashesAtCall: 0 };

/** Sends one booking to all hosts at once, and then to each in turn. */
async function sendToAll(
  world: ReturnType<typeof createFakeEnvironment>,
  hosts: readonly FakeHost[],
): Promise<readonly SendResult[]> {
  let sendings = 0;
  const send = (host: FakeHost) => {
    sendings++;
    const sending = `${host.id}-${sendings}`;
    return sendBooking(world, host, {
      run: runAtMostOnce,
      sending,
      work: "visit-1",
    });
  };
  const alive = () => hosts.filter((host) => !host.io.hasCrashed());
  const together = Promise.all(alive().map(send));
  await world.scheduler.waitFor(together);
  const ends = [...await together];
  for (const host of alive()) {
    const end = send(host);
    await world.scheduler.waitFor(end);
    ends.push(await end);
  }
  return ends;
}

test("a booking runs at most once and is not-run only if it did not run", async () => {
  // Guards against a booking that runs twice: a caller resent its booking to
  // another host because the first host died, or because the table service's
  // reply was lost after the claim took effect, and the second host found no
  // claim and ran the booking too.
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      fc.array(plan, { minLength: 1, maxLength: 3 }),
      timeoutSteps,
      async (scheduler, plans, steps) => {
        const world = createFakeEnvironment(scheduler, steps);
        const hosts = plans.map((each, index) =>
          createFakeHost(world, `entry-${index}`, { plan: each })
        );
        await sendToAll(world, hosts);
        await runUntilIdle(scheduler);
        assert.deepEqual(checkHistory(world.history, documentedLimits), []);
        for (const host of hosts) {
          if (!host.io.hasCrashed()) assert.equal(host.getSlotsInUse(), 0);
        }
      },
    ),
    { numRuns: 300, seed: 1 },
  );
});

test("without claims the checker reports a booking that ran twice", async () => {
  const claims: Claims = {
    create: () => ({
      acquire: Effect.succeed({ kind: "claimed" }),
      recordEnd: () => Effect.succeed(true),
      recordUnknown: () => Effect.succeed(true),
      release: () => Effect.succeed(true),
    }),
    sweep: Effect.succeed(0),
  };
  const found = await fc.check(
    fc.asyncProperty(fc.scheduler(), async (scheduler) => {
      const world = createFakeEnvironment(scheduler);
      const hosts = ["entry-1", "entry-2"].map((id) =>
        createFakeHost(world, id, { plan: noFaults, claims })
      );
      await sendToAll(world, hosts);
      await runUntilIdle(scheduler);
      const broken = checkHistory(world.history, documentedLimits);
      assert.ok(!broken.some((each) => each.promise === "at-most-once"));
    }),
    { numRuns: 5, seed: 1 },
  );
  assert.ok(found.failed);
});

test("the checker reports that every failure counts as refused", async () => {
  const [scheduler] = fc.sample(fc.scheduler(), { numRuns: 1, seed: 1 });
  const world = createFakeEnvironment(scheduler!);
  const host = createFakeHost(world, "entry-1", {
    plan: {
      faults: ["none", ...Array<IoFault>(40).fill("lost-after")],
      crashesAtCall: 0,
    },
    createUpstreams: (io) => createFakeUpstreams(world, io, () => "refused"),
  });
  const options = { run: runAtMostOnce, sending: "1", work: "visit-1" };
  const sent = sendBooking(world, host, options);
  await world.scheduler.waitFor(sent);
  await runUntilIdle(world.scheduler);
  const broken = checkHistory(world.history, documentedLimits)
    .map((each) => each.promise);
  assert.ok(broken.includes("not-run-did-not-run"));
  assert.ok(broken.includes("at-most-once"));
});

test("a key whose outcome was not-run can be used again", async () => {
  // Guards against a key that stays claimed for ever: the table service was
  // unavailable for a moment and the caller got "not-run, retry later". Its
  // retry was told that the request was under way, because the claim had taken
  // effect and nobody had released it.
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      fc.array(fault, { maxLength: 6 }),
      timeoutSteps,
      async (scheduler, faults, steps) => {
        const world = createFakeEnvironment(scheduler, steps);
        const first = createFakeHost(world, "entry-1", {
          plan: { faults, crashesAtCall: 0 },
        });
        const second = createFakeHost(world, "entry-2", { plan: noFaults });
        const options = { run: runAtMostOnce, work: "visit-1" };
        const sent = sendBooking(world, first, { ...options, sending: "1" });
        await scheduler.waitFor(sent);
        const end = await sent;
        await runUntilIdle(scheduler);
        const resent = sendBooking(world, second, { ...options, sending: "2" });
        await scheduler.waitFor(resent);
        const answer = await resent;
        await runUntilIdle(scheduler);
        assert.deepEqual(checkHistory(world.history, documentedLimits), []);
        if (end.outcome === "not-run") {
          // The scheduler may let the second claim time out.
          assert.ok(["answered", "not-run"].includes(answer.outcome));
        }
        if (end.outcome === "answered" && answer.outcome === "answered") {
          assert.equal(answer.body, end.body);
        }
        if (end.outcome === "may-have-run") {
          assert.notEqual(answer.outcome, "answered");
        }
      },
    ),
    { numRuns: 300, seed: 1 },
  );
});
