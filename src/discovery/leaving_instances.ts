/**
 * Starts of upstreams that have said that they leave. Whoever said so once
 * leaves for good: a row of the platform that calls the same start ready is
 * older, or written before the upstream knew.
 *
 * @module
 */

/** One start of an upstream. */
export interface UpstreamInstance {
  readonly id: string;
  /** Wall milliseconds of the start; the same id may start again. */
  readonly incarnation: number;
}

/** The starts that are known to leave. */
export interface LeavingInstances {
  has(instance: UpstreamInstance): boolean;
  /** False when it was known. */
  add(instance: UpstreamInstance): boolean;
}

/** Starts remembered; the oldest goes first. */
const MAX_KNOWN = 4_000;

/** Makes an empty set. */
export function createLeavingInstances(): LeavingInstances {
  const known = new Set<string>();
  return {
    has: (instance) => known.has(getKey(instance)),
    add(instance) {
      const key = getKey(instance);
      if (known.has(key)) return false;
      known.add(key);
      if (known.size > MAX_KNOWN) known.delete(known.keys().next().value!);
      return true;
    },
  };
}

function getKey({ id, incarnation }: UpstreamInstance): string {
  return `${incarnation}/${id}`;
}
