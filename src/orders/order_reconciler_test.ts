/**
 * Tests of orders: which order is sent, that orders of several hosts arrive in
 * the order of their tokens, and back-off at the weight store.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import fc from "fast-check";
import { type Clock, createManualClock } from "../core/mod.ts";
import { createRandom } from "../testing/traffic.ts";
import { createFakePlatform } from "../testing/fake_platform.ts";
import type { FencingKind, Upstream } from "../types.ts";
import type { UpstreamState } from "../upstreams/mod.ts";
import { tryGetNextOrder } from "./next_order.ts";
import { createLeases, LEASE_DURATION_MS } from "./lease.ts";
import type { OrderCall } from "./order_client.ts";
import {
  createOrderReconciler,
  type OrderReconcilerHost,
} from "./order_reconciler.ts";
import { createReservations } from "./reservations.ts";

/** Longer than a lease, so that the test detects a missing wait-out. */
const MAX_FLIGHT_MS = 15_000;

function createUpstream(input: Partial<Upstream> = {}): Upstream {
  return {
    id: "engine-1",
    service: "model",
    dataCentre: "dc-1",
    address: "127.0.0.1:1",
    maxSlots: 4,
    fencing: "ignores",
    longestOrderMs: MAX_FLIGHT_MS,
    ...input,
  };
}

function createState(input: Partial<UpstreamState> = {}): UpstreamState {
  return {
    running: 0,
    leaving: false,
    models: [],
    role: "",
    workingOn: "",
    ...input,
  };
}

test("a new model is loaded before the old one is unloaded", () => {
  const declared = createUpstream({ model: "new" });
  const decide = (state: Partial<UpstreamState>) =>
    tryGetNextOrder(declared, createState(state));
  assert.deepEqual(decide({ models: ["old"] }), { kind: "load", model: "new" });
  assert.equal(decide({ models: ["old"], workingOn: "load new" }), undefined);
  assert.deepEqual(decide({ models: ["old", "new"] }), {
    kind: "unload",
    model: "old",
  });
  assert.equal(decide({ models: ["new"] }), undefined);
});

test("what operators don't declare is left alone", () => {
  const state = createState({ models: ["theirs"], role: "prefill" });
  assert.equal(tryGetNextOrder(createUpstream(), state), undefined);
  const unreported = createState({ models: undefined });
  const declared = createUpstream({ model: "new" });
  assert.equal(tryGetNextOrder(declared, unreported), undefined);
});

/** Reconciliations of each host in one simulation. */
const RECONCILIATIONS = 6;

/** An order with the times of its last lease check and of its arrival. */
interface ArrivedOrder {
  readonly token: number;
  readonly beganMs: number;
  arrivedMs: number;
}

interface Simulation {
  readonly arrivedOrders: ArrivedOrder[];
  readonly clock: ReturnType<typeof createManualClock>;
  readonly reconcilers: readonly (() => Promise<void>)[];
}

interface OrderFaults {
  readonly lostReplies: number;
  readonly lostRequests: number;
}

/** The guard that a simulation leaves out. */
type SkippedGuard = "none" | "last-check" | "wait-out" | "token";

/** A host's clock with its own origin and a rate error of up to 0.5%. */
function createHostClock(clock: Clock, index: number): Clock {
  const rate = 1 + (index - 1) * 0.005;
  return {
    monotonicMs: () => index * 1e6 + clock.monotonicMs() * rate,
    wallMs: () => 0,
  };
}

/** Hosts that compete by declaring different models for one upstream. */
function createSimulation(input: {
  readonly fencing: FencingKind;
  readonly skip: SkippedGuard;
  readonly faults: OrderFaults;
  readonly step: (name: string) => Promise<void>;
}): Simulation {
  const { fencing, skip, step } = input;
  const clock = createManualClock();
  const platform = createFakePlatform();
  platform.control.interceptCall = step;
  Object.assign(platform.control, input.faults);
  const arrivedOrders: ArrivedOrder[] = [];
  let highestToken = 0;
  let models: readonly string[] = [];

  function receive(order: ArrivedOrder, call: OrderCall): boolean {
    if (
      fencing === "checks" && skip !== "token" && order.token < highestToken
    ) {
      return false;
    }
    highestToken = Math.max(highestToken, order.token);
    order.arrivedMs = clock.monotonicMs();
    arrivedOrders.push(order);
    if (call.order.kind === "load") models = [call.order.model];
    return true;
  }

  async function send(call: OrderCall) {
    await step("dial");
    if (skip !== "last-check" && !call.isLeaseValid()) return "lapsed" as const;
    const beganMs = clock.monotonicMs();
    const order = { token: call.token, beganMs, arrivedMs: Infinity };
    await step("flight");
    // The configuration declares that no order is in flight for longer.
    if (
      fencing === "ignores" && clock.monotonicMs() - beganMs > MAX_FLIGHT_MS
    ) {
      return "unanswered" as const;
    }
    const isAccepted = receive(order, call);
    await step("answer");
    return isAccepted ? "taken" as const : "refused" as const;
  }

  const reconcilers = [0, 1, 2].map((index) => {
    const hostClock = createHostClock(clock, index);
    let attempts = 0;
    const host: OrderReconcilerHost = {
      leases: createLeases({
        id: `entry-${index}`,
        clock: hostClock,
        tables: platform.tables,
        createAttemptId: () => `${index}/${attempts++}`,
      }),
      reservations: createReservations({
        clock: hostClock,
        weights: platform.weights,
        random: () => 0,
      }),
      tryGetState: () => Effect.sync(() => createState({ models })),
      sendOrder: (_, call) => Effect.promise(() => send(call)),
      onOrderResult() {},
    };
    const orders = createOrderReconciler(host);
    const upstream = createUpstream({
      fencing,
      model: `model-${index}`,
      longestOrderMs: skip === "wait-out" ? 0 : MAX_FLIGHT_MS,
    });
    return () =>
      Effect.runPromise(
        orders.reconcile(upstream, createState({ models })).pipe(Effect.ignore),
      );
  });
  return { arrivedOrders, clock, reconcilers };
}

/** Returns how orders mixed at the upstream, or `undefined` if they did not. */
function findViolation(
  arrivedOrders: readonly ArrivedOrder[],
  fencing: FencingKind,
) {
  let highest = 0;
  for (const order of arrivedOrders) {
    if (order.token < highest) return `Token ${order.token} after ${highest}`;
    highest = order.token;
  }
  if (fencing === "checks") return undefined;
  for (const [index, order] of arrivedOrders.entries()) {
    const overlaps = arrivedOrders.slice(index + 1).some((other) =>
      other.token !== order.token && other.beganMs < order.arrivedMs
    );
    if (overlaps) return `Token ${order.token} overlaps a later one`;
  }
  return undefined;
}

const simulationInput = [
  fc.scheduler(),
  fc.array(
    fc.oneof(
      { weight: 8, arbitrary: fc.constant(0) },
      { weight: 2, arbitrary: fc.integer({ min: 500, max: 3_000 }) },
      { weight: 1, arbitrary: fc.integer({ min: 9_000, max: 25_000 }) },
    ),
    { minLength: 10, maxLength: 30 },
  ),
  fc.record({
    lostReplies: fc.integer({ min: 0, max: 3 }),
    lostRequests: fc.integer({ min: 0, max: 2 }),
  }),
] as const;

/** Three hosts reconcile repeatedly, with pauses between any two steps. */
async function simulateOrders(
  input: { fencing: FencingKind; skip: SkippedGuard },
  schedule: { scheduler: fc.Scheduler; pauses: number[]; faults: OrderFaults },
): Promise<readonly ArrivedOrder[]> {
  const { scheduler, pauses, faults } = schedule;
  const step = async (name: string) => {
    await scheduler.schedule(Promise.resolve(), name);
  };
  const simulation = createSimulation({ ...input, faults, step });
  let isDone = false;
  const pass = async () => {
    for (let next = 0; !isDone; next = (next + 1) % pauses.length) {
      await step("pause");
      simulation.clock.advance(pauses[next]!);
    }
  };
  const attempts = simulation.reconcilers.map(async (run) => {
    for (let round = 0; round < RECONCILIATIONS; round++) {
      await run();
      await step("again");
    }
  });
  const tried = Promise.all(attempts).then(() => isDone = true);
  await scheduler.waitFor(Promise.all([pass(), tried]));
  return simulation.arrivedOrders;
}

for (const fencing of ["ignores", "checks"] as const) {
  test(`orders reach an upstream that ${fencing} tokens in token order`, async () => {
    // Three hosts believe that they own one upstream. Each may be suspended
    // between any two steps for up to 25 s, and replies may be lost.
    let arrivalCount = 0;
    let tokenCount = 0;
    await fc.assert(
      fc.asyncProperty(
        ...simulationInput,
        async (scheduler, pauses, faults) => {
          const arrivedOrders = await simulateOrders({
            fencing,
            skip: "none",
          }, {
            scheduler,
            pauses,
            faults,
          });
          arrivalCount += arrivedOrders.length;
          tokenCount += new Set(arrivedOrders.map((order) => order.token)).size;
          assert.equal(findViolation(arrivedOrders, fencing), undefined);
        },
      ),
      { seed: 11, numRuns: 200 },
    );
    assert(
      arrivalCount > 200 && tokenCount > 200,
      "The runs sent too few orders",
    );
  });
}

test("without the last lease check the simulation detects mixed orders", async () => {
  // The same simulations, with holders that send orders after their lease
  // expired.
  const fixture = { fencing: "ignores", skip: "last-check" } as const;
  const checked = await fc.check(
    fc.asyncProperty(...simulationInput, async (scheduler, pauses, faults) => {
      const arrivedOrders = await simulateOrders(fixture, {
        scheduler,
        pauses,
        faults,
      });
      assert.equal(findViolation(arrivedOrders, fixture.fencing), undefined);
    }),
    { seed: 11, numRuns: 2_000, endOnFailure: true },
  );
  assert(checked.failed);
});

function createGate() {
  let open = () => {};
  const passed = new Promise<void>((resolve) => open = resolve);
  return { passed, open: () => open() };
}

/** A host's lease expires while its order is in flight; another host tries. */
async function simulateOvertaking(
  fencing: FencingKind,
  skip: SkippedGuard,
) {
  const flight = createGate();
  const sent = createGate();
  let flights = 0;
  const step = (name: string) => {
    if (name !== "flight" || flights++ > 0) return Promise.resolve();
    sent.open();
    return flight.passed;
  };
  const faults = { lostReplies: 0, lostRequests: 0 };
  const simulation = createSimulation({ fencing, skip, faults, step });
  const [first, second] = simulation.reconcilers;
  const slow = first!();
  await sent.passed;
  await second!();
  simulation.clock.advance(LEASE_DURATION_MS * 1.05);
  await second!();
  flight.open();
  await slow;
  return simulation.arrivedOrders;
}

for (
  const { fencing, skip } of [
    { fencing: "ignores", skip: "wait-out" },
    { fencing: "checks", skip: "token" },
  ] as const
) {
  test(`an order in flight is not overtaken: "${skip}"`, async () => {
    // An order is in flight for longer than its lease, and another host
    // acquires the lease. An upstream that ignores tokens must not get the
    // newer order first, and one that checks them must reject the older one.
    const arrivedOrders = await simulateOvertaking(fencing, "none");
    assert.equal(arrivedOrders.length, 1);
    assert.equal(findViolation(arrivedOrders, fencing), undefined);
    const unguarded = await simulateOvertaking(fencing, skip);
    assert.notEqual(findViolation(unguarded, fencing), undefined);
  });
}

function createLeaseFixture() {
  const clock = createManualClock();
  const platform = createFakePlatform();
  let attempts = 0;
  const createHost = (id: string) =>
    createLeases({
      id,
      clock,
      tables: platform.tables,
      createAttemptId: () => `${id}/${attempts++}`,
    });
  const acquire = (leases: ReturnType<typeof createLeases>, waitOutMs = 0) =>
    Effect.runPromise(leases.tryAcquire("orders/engine-1", waitOutMs));
  return {
    clock,
    platform,
    acquire,
    one: createHost("a"),
    two: createHost("b"),
  };
}

test("a lease is acquired even if the reply to its write is lost", async () => {
  // The write takes effect and its reply is lost. If that counted as a failure,
  // the lease would block all hosts, its holder included, until it expires.
  const { platform, acquire, one } = createLeaseFixture();
  platform.control.lostReplies = 1;
  assert.equal((await acquire(one))?.token, 1);
});

test("a dead holder's lease is available after expiry and wait-out", async () => {
  // The holder dies while its order executes at an upstream that ignores
  // tokens. The next holder must wait until the lease has expired and the order
  // must have ended, and gets a higher token.
  const { clock, acquire, one, two } = createLeaseFixture();
  await acquire(one, 5_000);
  assert.equal(await acquire(two, 5_000), undefined);
  clock.advance(LEASE_DURATION_MS + 4_900);
  assert.equal(await acquire(two, 5_000), undefined);
  clock.advance(500);
  assert.equal((await acquire(two, 5_000))?.token, 2);
});

test("a released lease is available at once, with a higher token", async () => {
  const { acquire, one, two } = createLeaseFixture();
  const first = await acquire(one, 5_000);
  await Effect.runPromise(one.release(first!));
  assert.equal((await acquire(two, 5_000))?.token, 2);
});

test("a host backs off after the weight store refused a download", async () => {
  // One edit changes hundreds of engines. The store accepts a few downloads per
  // second and refuses the others; hosts that retry at once use up its limit.
  const clock = createManualClock();
  const platform = createFakePlatform();
  platform.control.reservations = 0;
  let asked = 0;
  const reservations = createReservations({
    clock,
    random: () => 0.5,
    weights: {
      tryReserve: (model) => {
        asked++;
        return platform.weights.tryReserve(model);
      },
    },
  });
  const reserve = () => Effect.runPromise(reservations.tryReserve("model"));
  for (let second = 0; second < 600; second++) {
    assert.equal(await reserve(), false);
    clock.advance(1_000);
  }
  assert(asked < 40, `Asked ${asked} times in 600 s`);
  platform.control.reservations = 1;
  clock.advance(30_000);
  assert.equal(await reserve(), true);
});

/** Hosts that need two downloads each from a store that allows two a second. */
function simulateDownloads(hosts: number, pauses: boolean) {
  const clock = createManualClock();
  const random = createRandom(3);
  let taken: number[] = [];
  let asked = 0;
  const weights = {
    tryReserve: () =>
      Effect.sync(() => {
        asked++;
        const nowMs = clock.monotonicMs();
        taken = taken.filter((at) => nowMs - at < 1_000);
        if (taken.length >= 2) return false;
        taken.push(nowMs);
        return true;
      }),
  };
  const fleet = Array.from({ length: hosts }, () => ({
    left: 2,
    reservations: createReservations({
      clock: pauses ? clock : { ...clock, monotonicMs: () => Infinity },
      weights,
      random,
    }),
  }));
  while (fleet.some((host) => host.left > 0)) {
    for (const host of fleet) {
      if (host.left === 0) continue;
      const isReserved = Effect.runSync(host.reservations.tryReserve("model"));
      if (isReserved) host.left--;
    }
    clock.advance(250);
    if (clock.monotonicMs() > 3_600_000) throw new Error("Took over an hour");
  }
  return { asked, tookMs: clock.monotonicMs() };
}

test("a fleet's downloads finish within the store's rate limit", () => {
  // One edit changes the model of 96 engines at 48 hosts. The store allows two
  // downloads per second, so the minimum is 48 s. Hosts that ask at every step
  // send it many requests that it must refuse.
  const fleet = simulateDownloads(48, true);
  assert(fleet.tookMs < 4 * 48_000, `Took ${fleet.tookMs} ms`);
  assert(fleet.asked < 96 * 6, `Asked ${fleet.asked} times`);
  const eager = simulateDownloads(48, false);
  assert(eager.asked > 96 * 20, `Asked ${eager.asked} times without back-off`);
});
