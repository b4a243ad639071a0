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
  has(life: UpstreamInstance): boolean;
  /** False when it was known. */
  add(life: UpstreamInstance): boolean;
}

/** Starts remembered; the oldest goes first. */
const MAX_INSTANCES = 4_000;

/** Makes an empty set. */
export function createLeavingInstances(): LeavingInstances {
  const lives = new Set<string>();
  return {
    has: (life) => lives.has(getKey(life)),
    add(life) {
      const key = getKey(life);
      if (lives.has(key)) return false;
      lives.add(key);
      if (lives.size > MAX_INSTANCES) lives.delete(lives.keys().next().value!);
      return true;
    },
  };
}

function getKey({ id, incarnation }: UpstreamInstance): string {
  return `${incarnation}/${id}`;
}
