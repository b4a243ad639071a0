/**
 * Checks, while a fleet runs, that hosts learn of changes of the platform's
 * tables within the bound and never revert to older state.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { PlatformView } from "../entry/platform_view.ts";
import type { PlatformViewFleet } from "./platform_view_fleet.ts";

/** A change that the platform has accepted. */
interface AcceptedChange {
  readonly atMs: number;
  /** Number of the change in its table, counted from 1. */
  readonly number: number;
}

/** Ids of the upstreams that a host has ever had as ready. */
interface SeenUpstreams {
  readonly ready: Set<string>;
  /** Those of them that have left the host's ready upstreams since. */
  readonly gone: Set<string>;
}

/** The checks of one fleet. */
export interface PlatformViewChecks {
  /** Each violation, as a sentence with its time. */
  readonly violations: readonly string[];
  /** Longest time from its acceptance that a host lacked a change, in ms. */
  getWorstDelayMs(): number;
  countChanges(): number;
  /** Writes a new configuration, as operators do. */
  changeConfig(): void;
  /** Registers a new upstream and removes the oldest one. */
  changeUpstreams(): void;
  /** Writes the tables again, after a restore has lost the newest changes. */
  rewriteTables(): void;
  /** Lets a ready upstream report to one host that it is leaving. */
  markUpstreamLeaving(host: string): void;
  /** Checks that no host reverts to an older configuration or upstream. */
  checkNoReversion(): void;
  /** Checks that hosts have all changes older than `PROPAGATION_BOUND_MS`. */
  checkPropagation(): void;
}

/**
 * Time after its acceptance within which a configuration must be in force, and
 * a new upstream ready, at every host, in ms.
 */
export const PROPAGATION_BOUND_MS = 2_500;

/** Number of upstreams that are registered at any time. */
const REGISTERED_UPSTREAMS = 3;

/** Creates the checks; no change has been accepted yet. */
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
    report(`${name} ${missing.number} is missing after ${lateMs} ms`);
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

  /** Checks that an upstream which has left and is unregistered stays away. */
  function checkUpstreams(host: string, view: PlatformView): void {
    const { ready, gone } = getOrCreate(seenUpstreams, view, createSeen);
    const now = getReadyIds(view);
    const registered = getRegistered();
    for (const id of ready) if (!now.has(id)) gone.add(id);
    for (const id of now) {
      if (gone.has(id) && !registered.includes(id)) {
        report(`${host} reverted to ${id}`);
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
      if (!isGone) report(`${host} still uses ${entry.id}, which leaves`);
    },
    checkNoReversion() {
      for (const host of fleet.hosts) {
        const view = fleet.tryGetView(host);
        if (view === undefined) continue;
        const { configVersion } = view.getInputs();
        const isBack = configVersion < (highestVersions.get(view) ?? 0);
        if (isBack) report(`${host} reverted to ${configVersion}`);
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
