/**
 * The periodic tasks of a router, one fiber each, and how often each takes its
 * turn.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type { Backlog } from "../admission/mod.ts";
import type { Claims } from "../claims/mod.ts";
import type { Fleet } from "../fleet/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { PlatformError } from "../platform/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import { STATE_POLL_PERIOD_MS } from "../upstreams/mod.ts";
import type { Configuration } from "./configuration.ts";
import type { TaskWatch } from "./task_watch.ts";
import { every } from "./tasks.ts";

/** A version that was heard of and not fetched is tried again this often. */
const CONFIG_RETRY_MS = 500;

/** One probe of one host each time. */
const MEMBERSHIP_PERIOD_MS = 500;

/** What no request and no frame has caused goes out this often. */
const IDLE_FLUSH_MS = 100;

/** The last period at which the exchange does not set the fairness gap. */
const COUNTERS_MS = 500;

/** A request that can't be served in time leaves so soon. */
const SWEEP_MS = 200;

const QUARANTINE_POLL_MS = 30_000;
const CLAIM_SWEEP_MS = 60_000;

/** The parts that have periodic work. */
export interface PeriodicParts {
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly fleet: Fleet;
  readonly backlog: Backlog;
  readonly quarantine: Quarantine;
  readonly claims: Claims;
  readonly taskWatch: TaskWatch;
  readonly watchUpstreams: Effect.Effect<void>;
  readonly pollMachines: Effect.Effect<void, PlatformError>;
  /** Tells a failure of the platform; the next turn tries again. */
  watchPlatform<A>(call: Effect.Effect<A, PlatformError>): Effect.Effect<void>;
}

/** Starts the tasks; disposing ends them. */
export function startPeriodicTasks(parts: PeriodicParts): AsyncDisposable {
  const { configuration, fleet, taskWatch, watchPlatform } = parts;
  const { watch } = taskWatch;
  const { getPollMs } = configuration;
  const doing = (act: () => void) => Effect.sync(act);
  const fibers = [
    every(
      getPollMs,
      watch("configuration", watchPlatform(configuration.poll())),
    ),
    every(getPollMs, watch("machine list", watchPlatform(parts.pollMachines))),
    every(CONFIG_RETRY_MS, watch("catch up", configuration.catchUp())),
    every(STATE_POLL_PERIOD_MS, watch("upstreams", parts.watchUpstreams)),
    every(
      MEMBERSHIP_PERIOD_MS,
      watch("heartbeat", doing(parts.membership.tick)),
    ),
    every(SWEEP_MS, watch("sweep", doing(parts.backlog.sweep))),
    every(QUARANTINE_POLL_MS, watch("quarantine", parts.quarantine.refresh)),
    every(CLAIM_SWEEP_MS, watch("claims", parts.claims.sweep)),
    every(IDLE_FLUSH_MS, watch("flush", doing(fleet.flush))),
    every(COUNTERS_MS, watch("counters", doing(fleet.exchangeCounters))),
  ].map((task) => Effect.runFork(task));

  return {
    async [Symbol.asyncDispose]() {
      await Effect.runPromise(Fiber.interruptAll(fibers));
    },
  };
}
