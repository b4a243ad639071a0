/**
 * Keeps on the platform a record of which software versions of each service
 * serve, or have served of late, and reads it when this host starts.
 *
 * Load: all hosts of a fleet are lost at once, while upstreams of one version
 * replace those of another, and callers take their streams up when the hosts are
 * back. A write for each version that appears or has gone, and a read for each
 * start of a host.
 *
 * Failure prevented: no host has seen the earlier version, all agree that there
 * is one version only, and streams go on at it that began at the other.
 *
 * A version is in the record from when hosts see it until `MEMORY_MS` after its
 * last upstream has gone, as long as any stream that began there may be taken
 * up. A few hosts write it, chosen by the version; the first of them removes it.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import * as Latch from "effect/Latch";
import { type Clock, dropOldest } from "../core/mod.ts";
import type {
  ServiceVersion,
  TableError,
  VersionDirectory,
} from "../discovery/mod.ts";
import { rankByRendezvous } from "../membership/mod.ts";

/** Dependencies of the record. */
export interface VersionRecordHost {
  readonly clock: Clock;
  readonly directory: VersionDirectory;
  /** Peer address of this host. */
  readonly self: string;
  /** Peer addresses of the hosts that are alive, including this one. */
  getHosts(): readonly string[];
  /** All versions that this host knows, now or within `MEMORY_MS`. */
  getKnown(): readonly ServiceVersion[];
  /**
   * Brings this host's table of upstreams up to date by a read of the platform
   * that begins when the effect does.
   */
  readonly readTable: Effect.Effect<void, TableError>;
  /** Called with what this host finds on record for the first time. */
  onRead(versions: readonly ServiceVersion[]): void;
  onFailure(reason: string): void;
  /** A random number in [0, 1). */
  random(): number;
}

/** The platform's record of versions, as one host reads and writes it. */
export interface VersionRecord {
  /** Whether this host has read the record. */
  isRead(): boolean;
  /** Writes versions that have appeared, or come back after `MEMORY_MS`. */
  add(versions: readonly ServiceVersion[]): void;
  /** Writes all versions anew: the platform was restored from a backup. */
  rewrite(): void;
  /**
   * Reads the record again: the versions that serve, or have gone of late. The
   * read begins when the effect does.
   */
  readonly readAnew: Effect.Effect<readonly ServiceVersion[], TableError>;
  /** Reads and writes until the effect is interrupted. */
  readonly run: Effect.Effect<never>;
}

/** Number of hosts that write a version. */
const WRITERS = 3;

/**
 * Time from the start of a host to its first write, in ms. Hosts that start
 * together don't know each other before, and all of them would write.
 */
const FIRST_WRITE_MS = 2_000;

/** Interval at which versions that have gone are looked for, in ms. */
const CHECK_INTERVAL_MS = 5_000;

/** Limit on the versions that are taken to be in the record. */
const MAX_RECORDED = 1_000;

/** Delay before the next attempt after a failed call, in ms; half is random. */
const RETRY_DELAY_MS = 1_000;

/** Creates the record of a host that has not read it. */
export function createVersionRecord(host: VersionRecordHost): VersionRecord {
  const { clock, directory, self } = host;
  const startedMs = clock.monotonicMs();
  /** Versions that are taken to be in the record. */
  const recorded = new Map<string, ServiceVersion>();
  /** Open while there may be something to write. */
  const due = Latch.makeUnsafe();
  let isRead = false;

  /** Position of this host among those that write the version. */
  function getRank(version: ServiceVersion): number {
    return rankByRendezvous(getKey(version), host.getHosts()).indexOf(self);
  }

  // What has been recorded here before may be on record for a while after all
  // hosts have forgotten it, and would never go if it counted as seen anew.
  const readAnew = Effect.suspend(() => directory.read()).pipe(
    Effect.tap((versions) =>
      Effect.sync(() => {
        const added = versions.filter((each) => !recorded.has(getKey(each)));
        added.forEach(markRecorded);
        isRead = true;
        host.onRead(added);
      })
    ),
  );

  /** Other writers are trusted to write what isn't this host's part. */
  function addMissing(): Effect.Effect<void, TableError> {
    const missing = host.getKnown().filter((each) =>
      !recorded.has(getKey(each))
    );
    return Effect.forEach(missing, (each) => {
      const add = getRank(each) < WRITERS ? directory.add(each) : Effect.void;
      return add.pipe(
        Effect.tap(() => Effect.sync(() => markRecorded(each))),
      );
    }, { discard: true });
  }

  function markRecorded(version: ServiceVersion): void {
    recorded.set(getKey(version), version);
    dropOldest(recorded, MAX_RECORDED);
  }

  /** Hosts that rank behind keep what has gone, in case the first is lost. */
  function getGone(): readonly ServiceVersion[] {
    const known = new Set(host.getKnown().map(getKey));
    return [...recorded.values()].filter((each) =>
      !known.has(getKey(each)) && getRank(each) === 0
    );
  }

  function remove(version: ServiceVersion): Effect.Effect<void, TableError> {
    return directory.remove(version).pipe(
      Effect.tap(() => Effect.sync(() => recorded.delete(getKey(version)))),
    );
  }

  /** What has gone by an old table may serve. */
  function removeGone(): Effect.Effect<void, TableError> {
    if (getGone().length === 0) return Effect.void;
    return host.readTable.pipe(
      Effect.andThen(
        Effect.suspend(() =>
          Effect.forEach(getGone(), remove, { discard: true })
        ),
      ),
    );
  }

  function waitForFirstWrite(): Effect.Effect<void> {
    const leftMs = startedMs + FIRST_WRITE_MS - clock.monotonicMs();
    return leftMs > 0 ? Effect.sleep(leftMs) : Effect.void;
  }

  const write = due.close.pipe(
    Effect.andThen(addMissing),
    Effect.andThen(removeGone),
    Effect.andThen(
      Effect.raceFirst(Effect.sleep(CHECK_INTERVAL_MS), due.await),
    ),
  );

  /** Repeats the step after a while until it succeeds. */
  function retry(step: Effect.Effect<void, TableError>): Effect.Effect<void> {
    return step.pipe(Effect.catchTag("TableError", (err) => {
      host.onFailure(err.reason);
      return Effect.sleep(RETRY_DELAY_MS * (0.5 + host.random() / 2)).pipe(
        Effect.andThen(Effect.suspend(() => retry(step))),
      );
    }));
  }

  return {
    isRead: () => isRead,
    add(versions) {
      // Another host may have removed them since they were last here.
      for (const each of versions) recorded.delete(getKey(each));
      if (versions.length > 0) due.openUnsafe();
    },
    rewrite() {
      recorded.clear();
      due.openUnsafe();
    },
    readAnew,
    run: retry(Effect.asVoid(readAnew)).pipe(
      Effect.andThen(Effect.suspend(waitForFirstWrite)),
      Effect.andThen(Effect.forever(retry(write))),
    ),
  };
}

function getKey({ service, version }: ServiceVersion): string {
  return `${service}/${version}`;
}
