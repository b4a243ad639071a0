/**
 * The pacing of each service at this host, created when it is first asked for.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import { createPacing, type Pacing, type PacingStats } from "../pacing/mod.ts";
import type { ReadingLimit } from "./metrics_types.ts";
import { createReadingLimitDecision } from "./reading_limit_decision.ts";

/** Dependencies of the pacings. */
export interface ServicePacingsHost {
  readonly clock: Clock;
  /** Returns what the other hosts have learned about the service. */
  getRemoteStats(service: string): PacingStats;
  /** Returns the prompt target of the service in ms; `undefined` if it has none. */
  tryGetTargetMs(service: string): number | undefined;
  log(decision: Decision): void;
}

/** The pacings of one host. */
export interface ServicePacings {
  get(service: string): Pacing;
  /** Returns the limit of prefill tokens in flight at an upstream. */
  getLimitTokens(service: string): number;
  /** The limits of all services that were asked for. */
  getLimits(): readonly ReadingLimit[];
  /** What this host has learned about each of them, by service. */
  getStats(): readonly (readonly [service: string, stats: PacingStats])[];
}

/**
 * Prompt target for a service whose prompt route has just been removed, in ms.
 */
const DEFAULT_TARGET_MS = 1_000;

/** Creates the pacings of a host, none yet. */
export function createServicePacings(host: ServicePacingsHost): ServicePacings {
  const pacings = new Map<string, Pacing>();

  function create(service: string): Pacing {
    return createPacing({
      nowMs: host.clock.monotonicMs,
      getRemoteStats: () => host.getRemoteStats(service),
      onChanged: (change) =>
        host.log(createReadingLimitDecision(service, change)),
    });
  }

  function get(service: string): Pacing {
    return getOrCreate(pacings, service, () => create(service));
  }

  function getLimitTokens(service: string): number {
    const targetMs = host.tryGetTargetMs(service) ?? DEFAULT_TARGET_MS;
    return get(service).getLimitTokens(targetMs);
  }

  return {
    get,
    getLimitTokens,
    getLimits: () =>
      [...pacings.keys()].map((service) => ({
        service,
        tokens: getLimitTokens(service),
      })),
    getStats: () =>
      [...pacings].map(([service, pacing]) => [service, pacing.getStats()]),
  };
}
