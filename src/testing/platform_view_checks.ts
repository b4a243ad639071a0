/**
 * What hosts must know of the platform's tables, checked from outside while a
 * fleet runs.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { PlatformView } from "../entry/platform_view.ts";
import type { PlatformViewFleet } from "./platform_view_fleet.ts";

/** A change that the platform has accepted. */
interface AcceptedChange {
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
export interface PlatformViewChecks {
  /** Each broken promise as one sentence with its time. */
  readonly violations: readonly string[];
  /** Longest time in which a change was not known where it had to be, in ms. */
  getWorstDelayMs(): number;
  countChanges(): number;
  /** Operators put a new configuration in place. */
  changeConfig(): void;
  /** An upstream registers, and one leaves. */
  changeUpstreams(): void;
  /** What the platform has lost by its return is written again. */
  rewriteTables(): void;
  /** An upstream that is registered says to one host that it leaves. */
  markUpstreamLeaving(host: string): void;
  /** That no host goes back. */
  checkNoReversion(): void;
  /** That every host knows what was accepted `BOUND_MS` before. */
  checkPropagation(): void;
}

/**
 * A configuration is in force, and a new upstream known, so soon after its
 * acceptance, in ms.
 */
export const PROPAGATION_BOUND_MS = 2_500;

/** Upstreams that are registered at a time. */
const REGISTERED_UPSTREAMS = 3;

/** Makes the checks; nothing was accepted yet. */
export function createPlatformViewChecks(
  fleet: PlatformViewFleet,
): PlatformViewChecks {
  const violations: string[] = [];
  const configs: AcceptedChange[] = [];
  const upstreams: AcceptedChange[] = [];
  const highestVersions = new Map<PlatformView, number>();
  const seenUpstreams = new Map<PlatformView, SeenUpstreams>();
  const leaving = new Set<string>();
  let worstDelayMs = 0;

  function accept(accepted: AcceptedChange[]): number {
    const number = accepted.length + 1;
    accepted.push({ atMs: fleet.nowMs(), number });
    return number;
  }

  function report(what: string): void {
    violations.push(`${fleet.nowMs()} ms: ${what}`);
  }

  function checkAccepted(
    name: string,
    accepted: readonly AcceptedChange[],
    isKnown: (number: number) => boolean,
  ): void {
    const missing = accepted.find((each) => !isKnown(each.number));
    if (missing === undefined) return;
    const lateMs = fleet.nowMs() - missing.atMs;
    worstDelayMs = Math.max(worstDelayMs, lateMs);
    if (lateMs <= PROPAGATION_BOUND_MS) return;
    report(`${name} ${missing.number} is unknown after ${lateMs} ms`);
  }

  function putUpstreams(): void {
    const newest = upstreams.length;
    const numbers = Array.from(
      { length: REGISTERED_UPSTREAMS },
      (_, at) => newest - at,
    );
    fleet.tables.putUpstreams(numbers.map(getUpstreamId));
  }

  function getRegistered(): readonly string[] {
    return upstreams.slice(-REGISTERED_UPSTREAMS).map((each) =>
      getUpstreamId(each.number)
    );
  }

  /** An upstream that is not registered any more, and was gone, stays gone. */
  function checkUpstreams(host: string, view: PlatformView): void {
    const { ready, gone } = getOrCreate(seenUpstreams, view, createSeen);
    const now = getReadyIds(view);
    const registered = getRegistered();
    for (const id of ready) if (!now.has(id)) gone.add(id);
    for (const id of now) {
      if (gone.has(id) && !registered.includes(id)) {
        report(`${host} went back to ${id}`);
      }
      ready.add(id);
    }
  }

  return {
    violations,
    getWorstDelayMs: () => worstDelayMs,
    countChanges: () => configs.length + upstreams.length,
    changeConfig: () => fleet.tables.putConfig(accept(configs)),
    changeUpstreams() {
      accept(upstreams);
      putUpstreams();
    },
    rewriteTables() {
      if (configs.length > 0) fleet.tables.putConfig(configs.length);
      if (upstreams.length > 0) putUpstreams();
    },
    markUpstreamLeaving(host) {
      const view = fleet.tryGetView(host);
      const ready = view?.directory.getReady("model") ?? [];
      const entry = ready.find((each) => !leaving.has(each.id));
      if (entry === undefined) return;
      leaving.add(entry.id);
      view!.markLeaving(entry);
      const isGone = !getReadyIds(view!).has(entry.id);
      if (!isGone) report(`${host} sends on to ${entry.id}, which leaves`);
    },
    checkNoReversion() {
      for (const host of fleet.hosts) {
        const view = fleet.tryGetView(host);
        if (view === undefined) continue;
        const { configVersion } = view.getInputs();
        const isBack = configVersion < (highestVersions.get(view) ?? 0);
        if (isBack) report(`${host} went back to ${configVersion}`);
        highestVersions.set(view, configVersion);
        checkUpstreams(host, view);
      }
    },
    checkPropagation() {
      for (const host of fleet.hosts) {
        const view = fleet.tryGetView(host);
        const version = view?.getInputs().configVersion ?? 0;
        const isInForce = (number: number) => number <= version;
        checkAccepted(`${host}: configuration`, configs, isInForce);
        const ids = view === undefined ? new Set<string>() : getReadyIds(view);
        const isReady = (number: number) =>
          ids.has(getUpstreamId(number)) || leaving.has(getUpstreamId(number));
        const registered = upstreams.slice(-REGISTERED_UPSTREAMS);
        checkAccepted(`${host}: upstream`, registered, isReady);
      }
    },
  };
}

function createSeen(): SeenUpstreams {
  return { ready: new Set(), gone: new Set() };
}

function getReadyIds(view: PlatformView): ReadonlySet<string> {
  const ready = view.directory.getReady("model");
  return new Set(ready.map((each) => each.id));
}

function getUpstreamId(number: number): string {
  return `upstream-${number}`;
}
