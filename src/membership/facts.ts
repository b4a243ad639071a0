/**
 * Store of gossiped facts. A time limit and a limit on the number of facts
 * bound its memory, also when a host floods the fleet with facts.
 *
 * @module
 */

import { type Clock, dropOldest } from "../core/mod.ts";
import type { Fact } from "./types.ts";

/** The facts that one host knows. */
export interface FactStore {
  /**
   * Stores the fact; returns false when the stored fact has the same or a
   * higher version.
   */
  add(fact: Fact): boolean;
  tryGet(key: string): Fact | undefined;
  getKeys(): readonly string[];
  /** Removes the facts that are older than `FACT_RETENTION_MS`. */
  expire(): void;
}

/**
 * Time after which a fact is removed, in ms. What must be kept longer belongs
 * in the platform's table service.
 */
export const FACT_RETENTION_MS = 3_600_000;

/** Maximum number of facts; when it is exceeded, the oldest is removed. */
export const MAX_FACTS = 1_000;

/** Creates an empty store. */
export function createFactStore(clock: Clock): FactStore {
  // In order of arrival: a fact that is replaced moves to the end.
  const facts = new Map<string, { fact: Fact; sinceMs: number }>();

  return {
    add(fact) {
      const known = facts.get(fact.key);
      if (known !== undefined && fact.version <= known.fact.version) {
        return false;
      }
      facts.delete(fact.key);
      facts.set(fact.key, { fact, sinceMs: clock.monotonicMs() });
      dropOldest(facts, MAX_FACTS);
      return true;
    },
    tryGet: (key) => facts.get(key)?.fact,
    getKeys: () => [...facts.keys()],
    expire() {
      const nowMs = clock.monotonicMs();
      for (const [key, { sinceMs }] of facts) {
        if (nowMs - sinceMs < FACT_RETENTION_MS) return;
        facts.delete(key);
      }
    },
  };
}
