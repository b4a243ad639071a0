/**
 * Decides which part of a cold upstream's limit a host has. All hosts decide
 * alike without messages, and their parts add up to the limit.
 *
 * Load: a data centre of upstreams returns at once while 74 to 390 hosts send.
 *
 * Failures prevented:
 * - Hosts that each count alone send a cold upstream many times its limit, and
 *   it crashes again.
 * - If all hosts had an even part, it would be a request in eight seconds, and
 *   upstreams would stay idle until they are warm. A few hosts are therefore
 *   drawn for each upstream, so that each part is worth having.
 * - Hosts that are cut off from each other each draw among those they see. A
 *   host that is taken for dead may only be cut off, so that the limit is cut
 *   down to the share of the known hosts that are alive: over all sides of a
 *   partition the parts still add up to no more than the limit.
 *
 * @module
 */

import { rankByRendezvous } from "../membership/mod.ts";

/** A host that may have a part. */
export interface PartHost {
  readonly address: string;
  readonly region: string | undefined;
  /** Whether it is alive as far as this host knows. */
  readonly isAlive: boolean;
}

/** Inputs of the decision. */
export interface WarmUpPartInput {
  /** Address of this host. */
  readonly self: string;
  /** All known hosts, including this one and those that may be cut off. */
  readonly hosts: readonly PartHost[];
  /** Distinguishes the draws of different upstreams, and of their starts. */
  readonly key: string;
  /** Region of the upstream, whose hosts go first. */
  readonly region: string | undefined;
  /** Limit of the upstream over all hosts. */
  readonly requestsPerSecond: number;
}

/**
 * The share of the limit, in requests a second, for which a further host is
 * drawn.
 */
const MIN_SHARE_PER_SECOND = 4;

/**
 * A host that sends evenly sends one request more than its part in some
 * seconds. The parts leave room for that, but use half of the limit at least.
 */
const MIN_USED_SHARE = 0.5;

/** Returns the requests a second that this host may send to the upstream. */
export function getWarmUpPart(input: WarmUpPartInput): number {
  const { self, key, region, requestsPerSecond } = input;
  const inRegion = input.hosts.filter((each) => each.region === region);
  const hasNearHost = inRegion.some((each) => each.isAlive);
  const hosts = hasNearHost ? inRegion : input.hosts;
  const alive = hosts.filter((each) => each.isAlive);
  const worthwhile = Math.floor(requestsPerSecond / MIN_SHARE_PER_SECOND);
  const count = Math.max(1, Math.min(alive.length, worthwhile));
  const drawn = rankByRendezvous(key, alive.map((each) => each.address))
    .slice(0, count);
  if (!drawn.includes(self)) return 0;
  const used = Math.max(
    requestsPerSecond - count,
    requestsPerSecond * MIN_USED_SHARE,
  );
  return used / count * alive.length / hosts.length;
}
