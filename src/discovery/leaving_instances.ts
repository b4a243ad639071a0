/**
 * Remembers the upstream instances that are known to be leaving. An instance
 * that has announced that it leaves never becomes ready again: a platform row
 * that still lists the same instance as ready is stale, or was written before
 * the upstream knew that it would leave.
 *
 * @module
 */

import { dropOldest } from "../core/mod.ts";

/** One run of an upstream process. */
export interface UpstreamInstance {
  readonly id: string;
  /** Wall-clock start time in ms; distinguishes restarts under the same id. */
  readonly incarnation: number;
}

/** The set of upstream instances that are known to be leaving. */
export interface LeavingInstances {
  has(instance: UpstreamInstance): boolean;
  /** Returns false if the instance was already in the set. */
  add(instance: UpstreamInstance): boolean;
}

/**
 * Upper bound on the remembered instances; the oldest entry is evicted first.
 */
const MAX_KNOWN = 4_000;

export function createLeavingInstances(): LeavingInstances {
  const known = new Set<string>();
  return {
    has: (instance) => known.has(getKey(instance)),
    add(instance) {
      const key = getKey(instance);
      if (known.has(key)) return false;
      known.add(key);
      dropOldest(known, MAX_KNOWN);
      return true;
    },
  };
}

function getKey({ id, incarnation }: UpstreamInstance): string {
  return `${incarnation}/${id}`;
}

/** The name by which hosts identify one run of an upstream in messages. */
export function getInstanceName({ id, incarnation }: UpstreamInstance): string {
  return `${id}/${incarnation}`;
}
