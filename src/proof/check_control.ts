/**
 * Checks of the promises about configuration, leaving upstreams and orders.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import { getByKind } from "./check_requests.ts";
import type { Observation, PromiseLimits, Violation } from "./types.ts";

/** The version that a host shows never decreases, not even across restarts. */
export function checkConfigNeverReverts(
  history: readonly Observation[],
): readonly Violation[] {
  const highest = new Map<string, number>();
  return getByKind(history, "config-seen").flatMap((seen) => {
    // Version 0 means not ready: the host serves no requests, so that callers
    // do not see an older version.
    if (seen.version === 0) return [];
    const highestBefore = highest.get(seen.host) ?? 0;
    highest.set(seen.host, Math.max(highestBefore, seen.version));
    if (seen.version >= highestBefore) return [];
    return [{
      promise: "config-never-reverts" as const,
      atMs: seen.atMs,
      what:
        `"${seen.host}" went from version ${highestBefore} to ${seen.version}`,
    }];
  });
}

/** Every reachable host has an accepted version in force in time. */
export function checkConfigInTime(
  history: readonly Observation[],
  limits: PromiseLimits,
): readonly Violation[] {
  return getByKind(history, "config-accepted").flatMap((accepted) => {
    const violating = getByKind(history, "config-seen").find((seen) => {
      if (seen.version >= accepted.version || seen.version === 0) return false;
      const sinceMs = tryGetReachableSince(history, seen.host, seen.atMs);
      if (sinceMs === undefined) return false;
      const startMs = Math.max(accepted.atMs, sinceMs);
      return seen.atMs > startMs + limits.configMs;
    });
    if (violating === undefined) return [];
    return [{
      promise: "config-in-force-in-time" as const,
      atMs: violating.atMs,
      what: `"${violating.host}" had version ${violating.version} ${
        violating.atMs - accepted.atMs
      } ms after version ${accepted.version} was accepted`,
    }];
  });
}

/** A version number is never accepted with two different contents. */
export function checkOneOperatorWins(
  history: readonly Observation[],
): readonly Violation[] {
  const digests = new Map<number, string>();
  return getByKind(history, "config-accepted").flatMap((accepted) => {
    const { version, digest } = accepted;
    if (getOrCreate(digests, version, () => digest) === digest) return [];
    return [{
      promise: "one-operator-wins" as const,
      atMs: accepted.atMs,
      what: `Version ${version} was accepted with two different contents`,
    }];
  });
}

/** A leaving upstream gets no new work after the documented time. */
export function checkLeavingUpstreams(
  history: readonly Observation[],
  limits: PromiseLimits,
): readonly Violation[] {
  const leavingMs = new Map<string, number>();
  return history.flatMap((each) => {
    if (each.kind === "upstream-leaving") {
      getOrCreate(leavingMs, each.upstream, () => each.atMs);
    }
    if (each.kind === "upstream-back") leavingMs.delete(each.upstream);
    if (each.kind !== "upstream-ran") return [];
    const sinceMs = leavingMs.get(each.upstream);
    if (sinceMs === undefined || each.atMs <= sinceMs + limits.leavingMs) {
      return [];
    }
    return [{
      promise: "leaving-upstream-gets-nothing" as const,
      atMs: each.atMs,
      what: `"${each.upstream}" got "${each.request}" ${
        each.atMs - sinceMs
      } ms after it began to leave`,
    }];
  });
}

/** An upstream never accepts an order with a lower token than before. */
export function checkOrders(
  history: readonly Observation[],
): readonly Violation[] {
  const highest = new Map<string, number>();
  return getByKind(history, "order-taken").flatMap((order) => {
    const before = highest.get(order.upstream) ?? 0;
    highest.set(order.upstream, Math.max(before, order.token));
    if (order.token >= before) return [];
    return [{
      promise: "orders-are-fenced" as const,
      atMs: order.atMs,
      what: `"${order.upstream}" took token ${order.token} after ${before}`,
    }];
  });
}

/**
 * The time since which a host that is reachable at `atMs` has been reachable.
 */
function tryGetReachableSince(
  history: readonly Observation[],
  host: string,
  atMs: number,
): number | undefined {
  let sinceMs: number | undefined = 0;
  for (const each of history) {
    if (each.atMs > atMs) break;
    if (!("host" in each) || each.host !== host) continue;
    const isGone = each.kind === "host-killed" ||
      each.kind === "host-exited" ||
      (each.kind === "host-reachable" && !each.reachable);
    if (isGone) sinceMs = undefined;
    else if (each.kind === "host-reachable") sinceMs = each.atMs;
  }
  return sinceMs;
}
