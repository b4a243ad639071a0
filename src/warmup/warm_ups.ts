/**
 * What this host may send to cold upstreams: its part of each upstream's limit,
 * as evenly spaced requests.
 *
 * @module
 */

import { type Clock, dropOldest } from "../core/mod.ts";
import type { ColdUpstreams } from "./cold_upstreams.ts";
import type { WarmingUpstream, WarmUpAllowance, WarmUpLimit } from "./types.ts";
import { getWarmUpPart, type PartHost } from "./warm_up_part.ts";

/** The limits on requests to cold upstreams. */
export interface WarmUps {
  /** What this host may send to the upstream now. */
  getAllowance(upstream: WarmingUpstream): WarmUpAllowance;
  /** Counts a request to the upstream; does nothing if it is warm. */
  take(upstream: WarmingUpstream): void;
  isCold(upstream: WarmingUpstream): boolean;
}

/** Dependencies of the limits. */
export interface WarmUpsHost {
  readonly clock: Clock;
  readonly cold: ColdUpstreams;
  /** Address of this host. */
  readonly self: string;
  /** Monotonic milliseconds at which this host started. */
  readonly startedMs: number;
  tryGetLimit(service: string): WarmUpLimit | undefined;
  getRegion(dataCentre: string): string | undefined;
  /** All known hosts, including those that may only be cut off. */
  getHosts(): readonly PartHost[];
}

/**
 * For this time after its start a host has no part, in ms: it may not know the
 * other hosts yet, and would take their parts.
 */
const SETTLING_MS = 3_000;

/** A part is decided again after this time, in ms. */
const PART_TTL_MS = 200;

/** Upper bound on the known parts; the oldest entry is evicted first. */
const MAX_PARTS = 1_000;

interface Part {
  readonly incarnation: number;
  requestsPerSecond: number;
  decidedMs: number;
  /** Requests that are due, at most one. */
  due: number;
  countedMs: number;
}

/** Creates limits of which nothing has been used. */
export function createWarmUps(host: WarmUpsHost): WarmUps {
  const { clock, cold } = host;
  const parts = new Map<string, Part>();

  function decidePart(upstream: WarmingUpstream): number {
    const limit = host.tryGetLimit(upstream.service);
    const isSettled = clock.monotonicMs() - host.startedMs >= SETTLING_MS;
    if (limit === undefined || !isSettled) return 0;
    return getWarmUpPart({
      self: host.self,
      hosts: host.getHosts(),
      key: `${upstream.incarnation}/${upstream.id}`,
      region: host.getRegion(upstream.dataCentre),
      requestsPerSecond: limit.requestsPerSecond,
    });
  }

  /** Returns the part with what has become due up to now. */
  function getPart(upstream: WarmingUpstream): Part {
    const nowMs = clock.monotonicMs();
    const known = parts.get(upstream.id);
    const part = known?.incarnation === upstream.incarnation ? known : {
      incarnation: upstream.incarnation,
      requestsPerSecond: 0,
      decidedMs: -Infinity,
      due: 0,
      countedMs: nowMs,
    };
    if (part !== known) {
      parts.set(upstream.id, part);
      dropOldest(parts, MAX_PARTS);
    }
    const passedMs = nowMs - part.countedMs;
    part.due = Math.min(
      1,
      part.due + passedMs * part.requestsPerSecond / 1_000,
    );
    part.countedMs = nowMs;
    if (nowMs - part.decidedMs >= PART_TTL_MS) {
      part.requestsPerSecond = decidePart(upstream);
      part.decidedMs = nowMs;
    }
    return part;
  }

  const isCold = (upstream: WarmingUpstream) => cold.getLeftMs(upstream) > 0;

  return {
    getAllowance(upstream) {
      if (!isCold(upstream)) return "unlimited";
      const { due, requestsPerSecond } = getPart(upstream);
      if (due >= 1) return "now";
      return requestsPerSecond > 0 ? "later" : "none";
    },
    take(upstream) {
      if (isCold(upstream)) getPart(upstream).due -= 1;
    },
    isCold,
  };
}
