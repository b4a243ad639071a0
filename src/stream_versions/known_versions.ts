/**
 * The software versions of each service, now and of late.
 *
 * Load: the upstreams of a service are replaced by those of another version
 * while streams run.
 *
 * Failure prevented: a version counts as gone as soon as its last upstream is,
 * although callers still take up streams that began there.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import type { ServiceVersion } from "../discovery/mod.ts";
import { MEMORY_MS } from "./types.ts";

/** What an upstream's row says of its software. */
export interface VersionRow {
  /** Digest of the service. */
  readonly service: string;
  readonly softwareVersion: string | undefined;
}

/** The versions as one host knows them. */
export interface KnownVersions {
  /** Replaces the rows; returns the versions that were not known. */
  update(rows: readonly VersionRow[]): readonly ServiceVersion[];
  /** Records a version that another host has seen; false if it was known. */
  record(seen: ServiceVersion): boolean;
  /** Versions of the service, now or within `MEMORY_MS`. */
  get(service: string): readonly string[];
  /** Versions of all services, now or within `MEMORY_MS`. */
  getAll(): readonly ServiceVersion[];
}

/** Limit on the versions of a service that are remembered. */
const MAX_VERSIONS = 50;

/** Creates a view that knows no version. */
export function createKnownVersions(clock: Clock): KnownVersions {
  /** Monotonic time in ms until which each version is known, by service. */
  const untilMs = new Map<string, Map<string, number>>();
  let present: ReadonlyMap<string, ReadonlySet<string>> = new Map();

  /** Returns whether the version is new. */
  function extend({ service, version }: ServiceVersion): boolean {
    const known = getOrCreate(untilMs, service, () => new Map());
    const nowMs = clock.monotonicMs();
    const isNew = !isKnown(known.get(version), nowMs);
    known.set(version, nowMs + MEMORY_MS);
    for (const [each, until] of known) {
      if (!isKnown(until, nowMs)) known.delete(each);
    }
    if (known.size > MAX_VERSIONS) known.delete(known.keys().next().value!);
    return isNew;
  }

  /** Extends the versions of upstreams whose rows are there now. */
  function extendPresent(): readonly ServiceVersion[] {
    return [...present].flatMap(([service, versions]) =>
      [...versions].map((version) => ({ service, version })).filter(extend)
    );
  }

  function get(service: string): readonly string[] {
    const nowMs = clock.monotonicMs();
    const there = present.get(service) ?? [];
    const late = [...untilMs.get(service) ?? []]
      .flatMap(([version, until]) => isKnown(until, nowMs) ? [version] : []);
    return [...new Set([...there, ...late])];
  }

  return {
    update(rows) {
      extendPresent();
      present = groupByService(rows);
      return extendPresent();
    },
    record: (seen) =>
      extend(seen) && present.get(seen.service)?.has(seen.version) !== true,
    get,
    getAll() {
      const services = new Set([...present.keys(), ...untilMs.keys()]);
      return [...services].flatMap((service) =>
        get(service).map((version) => ({ service, version }))
      );
    },
  };
}

function groupByService(
  rows: readonly VersionRow[],
): ReadonlyMap<string, ReadonlySet<string>> {
  const versions = new Map<string, Set<string>>();
  for (const { service, softwareVersion } of rows) {
    const known = getOrCreate(versions, service, () => new Set<string>());
    if (softwareVersion !== undefined) known.add(softwareVersion);
  }
  return versions;
}

function isKnown(untilMs: number | undefined, nowMs: number): boolean {
  return untilMs !== undefined && nowMs < untilMs;
}
