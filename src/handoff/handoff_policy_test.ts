import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import { createManualClock } from "../core/mod.ts";
import {
  BACKOFF_MS,
  createHandoffPolicy,
  type HandoffPolicy,
  NEIGHBOURS_MAX_AGE_MS,
} from "./handoff_policy.ts";

const SELF = "host-0";

function createFixture({ hosts = 5, maxOpen = 8, seed = 0.5 } = {}) {
  const clock = createManualClock(1_000);
  const state = {
    utilization: 0.9,
    isDraining: false,
    alive: Array.from({ length: hosts }, (_, at) => `host-${at}`),
    full: new Set<string>(),
  };
  let random = seed;
  const reads = { alive: 0, full: 0 };
  const policy = createHandoffPolicy({
    clock,
    self: SELF,
    maxOpen,
    random: () => random = (random * 7.31 + 0.17) % 1,
    getUtilization: () => state.utilization,
    isDraining: () => state.isDraining,
    getAliveHosts() {
      reads.alive++;
      return state.alive;
    },
    isFull(host) {
      reads.full++;
      return state.full.has(host);
    },
  });
  return { clock, policy, reads, state };
}

test("a host hands off only while it is overloaded and not draining", () => {
  const { policy, state } = createFixture();
  strictEqual(policy.mayHandOff(), true);
  state.utilization = 0.8;
  strictEqual(policy.mayHandOff(), false);
  state.utilization = 1;
  state.isDraining = true;
  strictEqual(policy.mayHandOff(), false);
});

test("a host closes connections only while it is overloaded and has neighbours", () => {
  // Guards against small data centres whose callers connect for each request.
  const { policy, state } = createFixture({ hosts: 4 });
  strictEqual(policy.isOverloaded(), true);
  state.utilization = 0.8;
  strictEqual(policy.isOverloaded(), false);
  state.utilization = 1;
  state.isDraining = true;
  strictEqual(policy.isOverloaded(), false);
  strictEqual(createFixture({ hosts: 3 }).policy.isOverloaded(), false);
});

test("a flood is spread over idle neighbours, up to the limit", () => {
  // Guards against a flood that uses up the file descriptors, or that overloads
  // one neighbour after the other.
  const { policy } = createFixture({ maxOpen: 400 });
  const counts = new Map<string, number>();
  while (policy.mayHandOff()) {
    const target = policy.tryBegin()!;
    policy.recordOutcome(target, "taken");
    counts.set(target, (counts.get(target) ?? 0) + 1);
  }
  strictEqual(policy.countOpen(), 400);
  strictEqual(counts.size, 4);
  const spread = Math.max(...counts.values()) - Math.min(...counts.values());
  ok(spread <= 12, `${spread}`);
});

test("busy and vanished neighbours are asked twice per second at most", () => {
  // Guards against a flood that asks neighbours that are overloaded as well.
  const { clock, policy } = createFixture();
  const asked: string[] = [];
  for (let atMs = 0; atMs < 2 * BACKOFF_MS; atMs += 10) {
    const target = policy.tryBegin();
    if (target !== undefined) {
      asked.push(target);
      policy.recordOutcome(
        target,
        asked.length % 2 ? "refused" : "unreachable",
      );
    }
    clock.advance(10);
  }
  strictEqual(asked.length, 8);
  strictEqual(policy.countOpen(), 0);
});

test("a decision costs no more in a data centre with many hosts", () => {
  // Guards against an overloaded host that goes through all members for each
  // connection and response.
  const { clock, policy, reads } = createFixture({ hosts: 390, maxOpen: 1e3 });
  for (let connection = 0; connection < 100; connection++) {
    policy.isOverloaded();
    policy.recordOutcome(policy.tryBegin()!, "taken");
    clock.advance(9);
  }
  ok(reads.alive <= 10, `${reads.alive}`);
  ok(reads.full <= 200, `${reads.full}`);
});

test("full hosts, hosts that left and small data centres are not asked", () => {
  const { clock, policy, state } = createFixture();
  state.full = new Set(["host-1", "host-2", "host-3"]);
  strictEqual(policy.tryBegin(), "host-4");
  state.alive = state.alive.slice(0, 4);
  clock.advance(NEIGHBOURS_MAX_AGE_MS);
  strictEqual(policy.tryBegin(), undefined);
  state.full.clear();
  state.alive = state.alive.slice(0, 3);
  clock.advance(NEIGHBOURS_MAX_AGE_MS);
  strictEqual(policy.tryBegin(), undefined);
});

test("open handoffs are counted exactly, and no host in back-off is drawn", () => {
  const outcomes = fc.constantFrom("taken", "refused", "unreachable", "end");
  fc.assert(fc.property(
    fc.array(fc.tuple(outcomes, fc.integer({ min: 0, max: 300 }))),
    fc.double({ min: 0, max: 0.99, noNaN: true }),
    (steps, seed) => {
      const { clock, policy } = createFixture({ seed });
      const taken: string[] = [];
      const failedMs = new Map<string, number>();
      for (const [outcome, waitMs] of steps) {
        clock.advance(waitMs);
        const ended = outcome === "end" ? taken.shift() : undefined;
        if (ended !== undefined) policy.end(ended);
        if (outcome === "end" || !policy.mayHandOff()) continue;
        const target = policy.tryBegin();
        if (target === undefined) continue;
        const nowMs = clock.monotonicMs();
        ok(target !== SELF);
        ok(nowMs - (failedMs.get(target) ?? -Infinity) >= BACKOFF_MS);
        policy.recordOutcome(target, outcome);
        if (outcome === "taken") taken.push(target);
        else failedMs.set(target, nowMs);
      }
      deepStrictEqual(policy.countOpen(), taken.length);
      ok(policy.countOpen() <= 8);
    },
  ));
});

test("hosts count as short of time for a second after a refusal, whichever of them refused", () => {
  // Guards against hosts that refuse prompts while all connections are accepted.
  const refusals: readonly ((policy: HandoffPolicy) => void)[] = [
    (policy) => policy.recordOutcome(policy.tryBegin()!, "refused"),
    (policy) => policy.recordRefusal(),
  ];
  for (const refuse of refusals) {
    const { clock, policy } = createFixture();
    policy.recordOutcome(policy.tryBegin()!, "unreachable");
    strictEqual(policy.isShortOfTime(), false);
    refuse(policy);
    strictEqual(policy.isShortOfTime(), true);
    clock.advance(1_000);
    strictEqual(policy.isShortOfTime(), false);
  }
});
