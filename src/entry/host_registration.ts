/**
 * Keeps this host's address registered with the platform and reads the
 * addresses of other hosts there, in case the seeds of the settings no longer
 * exist. Hosts that have met exchange all other addresses by gossip, so the
 * platform is rarely queried.
 *
 * Failure prevented: the platform is restored from a backup that is older than
 * this host's registration, and newly started hosts find no others. Therefore a
 * host that does not find its own address registers again, and each host checks
 * soon after such a restore.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import * as Latch from "effect/Latch";
import type { HostDirectory, TableError } from "../discovery/mod.ts";

/** Dependencies of the host registration. */
export interface HostRegistrationHost {
  readonly directory: HostDirectory;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
  setSeeds(addresses: readonly string[]): void;
  /** Whether this host knows no other host that is alive. */
  isAlone(): boolean;
  onFailure(reason: string): void;
  /** A random number in [0, 1). */
  random(): number;
}

/** The registration of one host. */
export interface HostRegistration {
  /** Registers this host and reads the list until the effect is interrupted. */
  readonly run: Effect.Effect<never>;
  /**
   * Schedules an early read, because the platform was restored from a backup.
   */
  refresh(): void;
  /** Removes this host's address permanently. */
  readonly remove: Effect.Effect<void>;
}

/** Interval between reads while this host knows no other host, in ms. */
const ALONE_INTERVAL_MS = 1_000;

/**
 * Interval between reads otherwise, in ms. A host that no other host knows is
 * found after this time at the latest.
 */
const REFRESH_INTERVAL_MS = 20_000;

/** Delay before the next attempt after a failed call, in ms. */
const RETRY_DELAY_MS = 1_500;

/** After a restore the reads of all hosts are spread over this time, in ms. */
const REFRESH_SPREAD_MS = 3_000;

export function createHostRegistration(
  host: HostRegistrationHost,
): HostRegistration {
  const { directory, peerAddress } = host;

  const onFailure = (err: TableError) =>
    Effect.sync(() => host.onFailure(err.reason));

  const register = directory.add(peerAddress);
  /** Open while an early read is due. */
  const refreshDue = Latch.makeUnsafe();
  let isRemoved = false;

  function registerIfMissing(
    addresses: readonly string[],
  ): Effect.Effect<void, TableError> {
    const isRegistered = addresses.includes(peerAddress);
    return isRegistered || isRemoved ? Effect.void : register;
  }

  const read = directory.read().pipe(
    Effect.tap(registerIfMissing),
    Effect.map((addresses) => {
      host.setSeeds([...new Set([...host.seeds, ...addresses])]);
      return host.isAlone() ? ALONE_INTERVAL_MS : REFRESH_INTERVAL_MS;
    }),
  );

  /** Waits for the given time in ms, or until an early read is scheduled. */
  function wait(ms: number): Effect.Effect<void> {
    return Effect.raceFirst(Effect.sleep(ms), refreshDue.await).pipe(
      Effect.andThen(refreshDue.close),
      Effect.flatMap((wasDue) =>
        wasDue ? Effect.sleep(host.random() * REFRESH_SPREAD_MS) : Effect.void
      ),
    );
  }

  const readOnce = read.pipe(
    Effect.catchTag(
      "TableError",
      (err) => onFailure(err).pipe(Effect.as(RETRY_DELAY_MS)),
    ),
    Effect.flatMap(wait),
  );

  const registerOnce: Effect.Effect<void> = register.pipe(
    Effect.catchTag("TableError", (err) =>
      onFailure(err).pipe(
        Effect.andThen(Effect.sleep(RETRY_DELAY_MS)),
        Effect.andThen(Effect.suspend(() => registerOnce)),
      )),
  );

  return {
    run: registerOnce.pipe(Effect.andThen(Effect.forever(readOnce))),
    refresh: () => void refreshDue.openUnsafe(),
    remove: Effect.suspend(() => {
      isRemoved = true;
      return directory.remove(peerAddress);
    }).pipe(Effect.catchTag("TableError", onFailure)),
  };
}
