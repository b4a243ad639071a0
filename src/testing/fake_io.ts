/**
 * Input and output of fake hosts under fast-check's scheduler. Every call may
 * fail in each way that a network allows, a host may crash between any two
 * calls, and the scheduler decides the order of all events.
 *
 * @module
 */

import * as EffectClock from "effect/Clock";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type * as Fiber from "effect/Fiber";
import type fc from "fast-check";
import {
  type ConditionalWrite,
  PlatformError,
  type Row,
  type TableService,
  type TransactResult,
} from "../platform/mod.ts";

/**
 * What goes wrong with one call. "refused": the caller knows that the call was
 * not sent. "lost-before": the call never arrives. "lost-after": the call takes
 * effect and its reply is lost. "late": the call takes effect after the caller
 * has received an error.
 */
export type IoFault =
  | "none"
  | "refused"
  | "lost-before"
  | "lost-after"
  | "late";

/** A call that failed. */
export class IoError extends Error {
  readonly wasRefused: boolean;

  constructor(fault: IoFault) {
    super(fault);
    this.wasRefused = fault === "refused";
  }
}

/** The calls of one host. */
export interface Io {
  /** Performs the effect, unless a fault prevents it. */
  run<A>(name: string, effect: () => A): Promise<A>;
  hasCrashed(): boolean;
  /** Resolves when the host crashes. */
  readonly crashed: Promise<void>;
}

/** The faults of one host. */
export interface IoPlan {
  /** Faults of the first calls; later calls succeed. */
  readonly faults: readonly IoFault[];
  /** The host crashes at this call, counted from 1; 0 for never. */
  readonly crashesAtCall: number;
}

const pendingForever = new Promise<never>(() => {});

/** Creates the I/O of a host with the planned faults. */
export function createIo(s: fc.Scheduler, plan: IoPlan): Io {
  const faults = [...plan.faults];
  let calls = 0;
  let isDead = false;
  let crash = () => {};
  const crashed = new Promise<void>((resolve) => crash = resolve);

  function step(name: string): Promise<void> {
    return s.schedule(Promise.resolve(), name);
  }

  async function run<A>(name: string, effect: () => A): Promise<A> {
    if (isDead) return pendingForever;
    calls++;
    const fault = faults.shift() ?? "none";
    await step(`${name} (${fault})`);
    if (fault === "refused" || fault === "lost-before") {
      throw new IoError(fault);
    }
    if (fault === "late") {
      void step(`${name} takes effect late`).then(effect);
      throw new IoError(fault);
    }
    const value = effect();
    if (calls === plan.crashesAtCall) {
      isDead = true;
      crash();
      return pendingForever;
    }
    await step(`${name} replies`);
    if (isDead) return pendingForever;
    if (fault === "lost-after") throw new IoError(fault);
    return value;
  }

  return { run, hasCrashed: () => isDead, crashed };
}

/** The rows of a fake table service that several hosts share. */
export interface FakeStore {
  transact(writes: readonly ConditionalWrite[]): TransactResult;
  get(table: string, key: string): Row;
  list(table: string, prefix: string): readonly Row[];
}

/** Creates an empty store. */
export function createFakeStore(): FakeStore {
  const rows = new Map<string, Row>();

  function get(table: string, key: string): Row {
    return rows.get(`${table}/${key}`) ?? { key, value: null, version: 0 };
  }

  return {
    get,
    transact(writes) {
      const found = writes.map((write) => get(write.table, write.key));
      const matches = writes.every((write, index) =>
        found[index]!.version === write.expectedVersion
      );
      if (!matches) return { kind: "conflict", rows: found };
      for (const { table, key, value, expectedVersion } of writes) {
        const name = `${table}/${key}`;
        if (value === null) rows.delete(name);
        else rows.set(name, { key, value, version: expectedVersion + 1 });
      }
      return { kind: "committed" };
    },
    list: (table, prefix) =>
      [...rows].filter(([name]) => name.startsWith(`${table}/${prefix}`))
        .map(([, row]) => row),
  };
}

/** A table service that accesses the store through one host's I/O. */
export function createFakeTableService(store: FakeStore, io: Io): TableService {
  function call<A>(name: string, effect: () => A) {
    return Effect.tryPromise({
      try: () => io.run(name, effect),
      catch: (err) =>
        new PlatformError({
          reason: String(err),
          mayHaveRun: !(err instanceof IoError && err.wasRefused),
        }),
    });
  }

  return {
    transact: (writes) => call("transact", () => store.transact(writes)),
    get: (table, key) => call("get", () => store.get(table, key)),
    list: (table, prefix) => call("list", () => store.list(table, prefix)),
  };
}

/**
 * Number of scheduler steps that a sleep lasts. With `timeoutSteps` 1, every
 * timeout may fire before any reply; with more, long sleeps outlast short ones.
 */
function getSleepSteps(durationMs: number, timeoutSteps: number): number {
  if (durationMs < 500) return 1;
  return durationMs < 5_000 ? timeoutSteps : 4 * timeoutSteps;
}

/**
 * Runs an effect whose sleeps and timeouts end when the scheduler decides. A
 * timeout may fire before or after any other event, a long one seldom before.
 */
export function runScheduled<A, E>(
  s: fc.Scheduler,
  effect: Effect.Effect<A, E>,
  timeoutSteps: number,
): Promise<A> {
  return Effect.runPromise(withScheduledClock(s, effect, timeoutSteps));
}

/** Like `runScheduled`, but returns the fiber, which can be interrupted. */
export function forkScheduled<A, E>(
  s: fc.Scheduler,
  effect: Effect.Effect<A, E>,
  timeoutSteps: number,
): Fiber.Fiber<A, E> {
  return Effect.runFork(withScheduledClock(s, effect, timeoutSteps));
}

function withScheduledClock<A, E>(
  s: fc.Scheduler,
  effect: Effect.Effect<A, E>,
  timeoutSteps: number,
): Effect.Effect<A, E> {
  const sleep = (duration: Duration.Duration) =>
    Effect.promise(async (signal) => {
      const steps = getSleepSteps(Duration.toMillis(duration), timeoutSteps);
      for (let step = 0; step < steps && !signal.aborted; step++) {
        await s.schedule(Promise.resolve(), "sleep");
      }
    });
  const clock: EffectClock.Clock = {
    currentTimeMillisUnsafe: () => 0,
    currentTimeMillis: Effect.succeed(0),
    currentTimeNanosUnsafe: () => 0n,
    currentTimeNanos: Effect.succeed(0n),
    monotonicTimeNanosUnsafe: () => 0n,
    monotonicTimeNanos: Effect.succeed(0n),
    sleep,
  };
  return Effect.provideService(effect, EffectClock.Clock, clock);
}

/** Runs scheduled tasks until none remain. */
export async function runUntilIdle(s: fc.Scheduler): Promise<void> {
  let idleRounds = 0;
  // Fibers resume through the event loop and may schedule tasks later, so the
  // scheduler counts as idle only after five empty rounds.
  while (idleRounds < 5) {
    await new Promise((resolve) => setImmediate(resolve));
    idleRounds = s.count() === 0 ? idleRounds + 1 : 0;
    while (s.count() > 0) await s.waitOne();
  }
}
