/**
 * What hosts must know of the platform's tables, checked from outside while a
 * fleet runs.
 *
 * @module
 */

import type { Knowledge } from "../entry/knowledge.ts";
import type { KnowledgeFleet } from "./knowledge_fleet.ts";

/** A change that the platform has accepted. */
interface Accepted {
  readonly atMs: number;
  /** Number of the change in its table, from 1. */
  readonly number: number;
}

/** The checks of one fleet. */
export interface KnowledgeChecks {
  /** Each broken promise as one sentence with its time. */
  readonly broken: readonly string[];
  /** Longest time in which a change was not known where it had to be, in ms. */
  getWorstMs(): number;
  countChanges(): number;
  /** Operators put a new configuration in place. */
  changeConfig(): void;
  /** An upstream registers, and one leaves. */
  changeUpstreams(): void;
  /** That no host goes back. */
  checkOrder(): void;
  /** That every host knows what was accepted `BOUND_MS` before. */
  checkKnown(): void;
}

/**
 * A configuration is in force, and a new upstream known, so soon after its
 * acceptance, in ms.
 */
export const BOUND_MS = 2_500;

/** Upstreams that are registered at a time. */
const UPSTREAMS = 3;

/** Makes the checks; nothing was accepted yet. */
export function createKnowledgeChecks(fleet: KnowledgeFleet): KnowledgeChecks {
  const broken: string[] = [];
  const configs: Accepted[] = [];
  const upstreams: Accepted[] = [];
  const highest = new Map<Knowledge, number>();
  let worstMs = 0;

  function accept(accepted: Accepted[]): number {
    const number = accepted.length + 1;
    accepted.push({ atMs: fleet.nowMs(), number });
    return number;
  }

  function fail(what: string): void {
    broken.push(`${fleet.nowMs()} ms: ${what}`);
  }

  function checkAccepted(
    name: string,
    accepted: readonly Accepted[],
    isKnown: (number: number) => boolean,
  ): void {
    const missing = accepted.find((each) => !isKnown(each.number));
    if (missing === undefined) return;
    const lateMs = fleet.nowMs() - missing.atMs;
    worstMs = Math.max(worstMs, lateMs);
    if (lateMs <= BOUND_MS) return;
    fail(`${name} ${missing.number} is unknown after ${lateMs} ms`);
  }

  return {
    broken,
    getWorstMs: () => worstMs,
    countChanges: () => configs.length + upstreams.length,
    changeConfig: () => fleet.tables.put(accept(configs)),
    changeUpstreams() {
      const newest = accept(upstreams);
      const numbers = Array.from({ length: UPSTREAMS }, (_, at) => newest - at);
      fleet.tables.putUpstreams(numbers.map(getUpstreamId));
    },
    checkOrder() {
      for (const host of fleet.hosts) {
        const knowledge = fleet.tryGetKnowledge(host);
        if (knowledge === undefined) continue;
        const { configVersion } = knowledge.getInputs();
        const isBack = configVersion < (highest.get(knowledge) ?? 0);
        if (isBack) fail(`${host} went back to ${configVersion}`);
        highest.set(knowledge, configVersion);
      }
    },
    checkKnown() {
      for (const host of fleet.hosts) {
        const knowledge = fleet.tryGetKnowledge(host);
        const version = knowledge?.getInputs().configVersion ?? 0;
        const isInForce = (number: number) => number <= version;
        checkAccepted(`${host}: configuration`, configs, isInForce);
        const ready = knowledge?.directory.getReady("model") ?? [];
        const ids = new Set(ready.map((each) => each.id));
        const isReady = (number: number) => ids.has(getUpstreamId(number));
        const registered = upstreams.slice(-UPSTREAMS);
        checkAccepted(`${host}: upstream`, registered, isReady);
      }
    },
  };
}

function getUpstreamId(number: number): string {
  return `upstream-${number}`;
}
