/**
 * The periodic tasks of a router, one fiber each, and their periods.
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
import type { TaskMonitor } from "./task_monitor.ts";
import { runPeriodically } from "./tasks.ts";

/** Period of retries to fetch a version that peers announced. */
const CONFIG_RETRY_PERIOD_MS = 500;

/** Period of probes; each probes one host. */
const MEMBERSHIP_PERIOD_MS = 500;

/** Period of flushes for messages that no request and no frame caused. */
const IDLE_FLUSH_PERIOD_MS = 100;

/** Longest period that does not increase the fairness gap. */
const COUNTER_EXCHANGE_PERIOD_MS = 500;

/** Period of removing queued requests that cannot be served in time. */
const BACKLOG_SWEEP_PERIOD_MS = 200;

const QUARANTINE_POLL_PERIOD_MS = 30_000;
const CLAIM_SWEEP_PERIOD_MS = 60_000;

/** Modules and effects that are run periodically. */
export interface PeriodicTaskDependencies {
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly fleet: Fleet;
  readonly backlog: Backlog;
  readonly quarantine: Quarantine;
  readonly claims: Claims;
  readonly taskMonitor: TaskMonitor;
  readonly reconcileUpstreams: Effect.Effect<void>;
  readonly pollMachines: Effect.Effect<void, PlatformError>;
  /** Reports a failure of the platform, which the next run retries. */
  reportFailure<A>(call: Effect.Effect<A, PlatformError>): Effect.Effect<void>;
}

/** Starts the tasks; disposing of the result ends them. */
export function startPeriodicTasks(
  parts: PeriodicTaskDependencies,
): AsyncDisposable {
  const {
    configuration,
    fleet,
    taskMonitor,
    reportFailure,
  } = parts;
  const { monitor } = taskMonitor;
  const { getPollMs } = configuration;
  const toEffect = (act: () => void) => Effect.sync(act);
  const fibers = [
    runPeriodically(
      getPollMs,
      monitor("configuration", reportFailure(configuration.poll())),
    ),
    runPeriodically(
      getPollMs,
      monitor("machine list", reportFailure(parts.pollMachines)),
    ),
    runPeriodically(
      CONFIG_RETRY_PERIOD_MS,
      monitor("catch up", configuration.catchUp()),
    ),
    runPeriodically(
      STATE_POLL_PERIOD_MS,
      monitor("upstreams", parts.reconcileUpstreams),
    ),
    runPeriodically(
      MEMBERSHIP_PERIOD_MS,
      monitor("heartbeat", toEffect(parts.membership.tick)),
    ),
    runPeriodically(
      BACKLOG_SWEEP_PERIOD_MS,
      monitor("sweep", toEffect(parts.backlog.sweep)),
    ),
    runPeriodically(
      QUARANTINE_POLL_PERIOD_MS,
      monitor("quarantine", parts.quarantine.refresh),
    ),
    runPeriodically(
      CLAIM_SWEEP_PERIOD_MS,
      monitor("claims", parts.claims.sweep),
    ),
    runPeriodically(
      IDLE_FLUSH_PERIOD_MS,
      monitor("flush", toEffect(fleet.flush)),
    ),
    runPeriodically(
      COUNTER_EXCHANGE_PERIOD_MS,
      monitor("counters", toEffect(fleet.exchangeCounters)),
    ),
  ].map((task) => Effect.runFork(task));

  return {
    async [Symbol.asyncDispose]() {
      await Effect.runPromise(Fiber.interruptAll(fibers));
    },
  };
}
