/**
 * Facts that every host should know soon. Kept for a while and up to a number,
 * so that neither time nor a flood of them makes the state grow.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact } from "./types.ts";

/** The facts of one host. */
export interface FactStore {
  /** Takes the fact in; false when it is not newer than what is known. */
  add(fact: Fact): boolean;
  tryGet(key: string): Fact | undefined;
  getKeys(): readonly string[];
  /** Forgets what is too old. */
  expire(): void;
}

/** A fact is forgotten after so long; what must last longer lies in the store. */
export const FACT_RETENTION_MS = 3_600_000;

/** Most facts kept; the oldest goes first. */
export const MAX_FACTS = 1_000;

/** Makes an empty store. */
export function createFactStore(clock: Clock): FactStore {
  // In the order in which they came, since each is set anew when it changes.
  const facts = new Map<string, { fact: Fact; sinceMs: number }>();

  return {
    add(fact) {
      const known = facts.get(fact.key);
      if (known !== undefined && fact.version <= known.fact.version) {
        return false;
      }
      facts.delete(fact.key);
      facts.set(fact.key, { fact, sinceMs: clock.monotonicMs() });
      if (facts.size > MAX_FACTS) facts.delete(facts.keys().next().value!);
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
