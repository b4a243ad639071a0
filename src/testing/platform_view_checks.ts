/**
 * What hosts must know of the platform's tables, checked from outside while a
 * fleet runs.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { PlatformView } from "../entry/platform_view.ts";
import type { KnowledgeFleet } from "./platform_view_fleet.ts";

/** A change that the platform has accepted. */
interface Accepted {
  readonly atMs: number;
  /** Number of the change in its table, from 1. */
  readonly number: number;
}

/** Ids of the upstreams that a host has had. */
interface SeenUpstreams {
  readonly ready: Set<string>;
  /** Of these, those that it has not had for a while. */
  readonly gone: Set<string>;
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
  /** What the platform has lost by its return is written again. */
  writeAgain(): void;
  /** An upstream that is registered says to one host that it leaves. */
  leave(host: string): void;
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
  const highest = new Map<PlatformView, number>();
  const seen = new Map<PlatformView, SeenUpstreams>();
  const leaving = new Set<string>();
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

  function putUpstreams(): void {
    const newest = upstreams.length;
    const numbers = Array.from({ length: UPSTREAMS }, (_, at) => newest - at);
    fleet.tables.putUpstreams(numbers.map(getUpstreamId));
  }

  function getRegistered(): readonly string[] {
    return upstreams.slice(-UPSTREAMS).map((each) =>
      getUpstreamId(each.number)
    );
  }

  /** An upstream that is not registered any more, and was gone, stays gone. */
  function checkUpstreams(host: string, knowledge: PlatformView): void {
    const { ready, gone } = getOrCreate(seen, knowledge, createSeen);
    const now = getReadyIds(knowledge);
    const registered = getRegistered();
    for (const id of ready) if (!now.has(id)) gone.add(id);
    for (const id of now) {
      if (gone.has(id) && !registered.includes(id)) {
        fail(`${host} went back to ${id}`);
      }
      ready.add(id);
    }
  }

  return {
    broken,
    getWorstMs: () => worstMs,
    countChanges: () => configs.length + upstreams.length,
    changeConfig: () => fleet.tables.putConfig(accept(configs)),
    changeUpstreams() {
      accept(upstreams);
      putUpstreams();
    },
    writeAgain() {
      if (configs.length > 0) fleet.tables.putConfig(configs.length);
      if (upstreams.length > 0) putUpstreams();
    },
    leave(host) {
      const knowledge = fleet.tryGetKnowledge(host);
      const ready = knowledge?.directory.getReady("model") ?? [];
      const entry = ready.find((each) => !leaving.has(each.id));
      if (entry === undefined) return;
      leaving.add(entry.id);
      knowledge!.markLeaving(entry);
      const isGone = !getReadyIds(knowledge!).has(entry.id);
      if (!isGone) fail(`${host} sends on to ${entry.id}, which leaves`);
    },
    checkOrder() {
      for (const host of fleet.hosts) {
        const knowledge = fleet.tryGetKnowledge(host);
        if (knowledge === undefined) continue;
        const { configVersion } = knowledge.getInputs();
        const isBack = configVersion < (highest.get(knowledge) ?? 0);
        if (isBack) fail(`${host} went back to ${configVersion}`);
        highest.set(knowledge, configVersion);
        checkUpstreams(host, knowledge);
      }
    },
    checkKnown() {
      for (const host of fleet.hosts) {
        const knowledge = fleet.tryGetKnowledge(host);
        const version = knowledge?.getInputs().configVersion ?? 0;
        const isInForce = (number: number) => number <= version;
        checkAccepted(`${host}: configuration`, configs, isInForce);
        const ids = knowledge === undefined
          ? new Set<string>()
          : getReadyIds(knowledge);
        const isReady = (number: number) =>
          ids.has(getUpstreamId(number)) || leaving.has(getUpstreamId(number));
        const registered = upstreams.slice(-UPSTREAMS);
        checkAccepted(`${host}: upstream`, registered, isReady);
      }
    },
  };
}

function createSeen(): SeenUpstreams {
  return { ready: new Set(), gone: new Set() };
}

function getReadyIds(knowledge: PlatformView): ReadonlySet<string> {
  const ready = knowledge.directory.getReady("model");
  return new Set(ready.map((each) => each.id));
}

function getUpstreamId(number: number): string {
  return `upstream-${number}`;
}
