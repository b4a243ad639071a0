/**
 * Keeps this host's address at the platform, and finds others there when the
 * seeds of the settings are gone. Hosts that have met tell each other the rest,
 * so that the platform is asked seldom.
 *
 * Failure guarded against: the platform comes back from a copy that is older than
 * this host's registration, and hosts that start find nobody. So a host that does
 * not find itself there registers again, and looks soon after such a return.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { HostDirectory, TableError } from "../discovery/mod.ts";

/** What following needs of the process. */
export interface HostRegistrationHost {
  readonly directory: HostDirectory;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
  setSeeds(addresses: readonly string[]): void;
  /** This host has met no other. */
  isAlone(): boolean;
  onFailure(reason: string): void;
  /** From 0 up to 1. */
  random(): number;
}

/** Tasks of one host at the directory. */
export interface HostRegistration {
  /** Registers and reads; never ends. */
  readonly run: Effect.Effect<never>;
  /** Looks soon: the platform has come back from an older copy. */
  refresh(): void;
  /** Takes this host's address out for good. */
  readonly remove: Effect.Effect<void>;
}

/** While alone the directory is read this often, in ms. */
const ALONE_INTERVAL_MS = 1_000;

/** Otherwise; a host missed by all others shows up by then. */
const REFRESH_INTERVAL_MS = 20_000;

/** After a failed call, in ms. */
const RETRY_DELAY_MS = 1_500;

/** All hosts look after a return of the platform, over so long, in ms. */
const REFRESH_SPREAD_MS = 3_000;

/** Makes the tasks. */
export function createHostRegistration(
  host: HostRegistrationHost,
): HostRegistration {
  const { directory, peerAddress } = host;

  const onFailure = (err: TableError) =>
    Effect.sync(() => host.onFailure(err.reason));

  const register = directory.add(peerAddress);
  let isRemoved = false;
  let isRefreshDue = false;
  let wake = () => {};

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

  const untilRefresh = Effect.callback<void>((resume) => {
    wake = () => resume(Effect.void);
    if (isRefreshDue) wake();
  });

  /** Waits so long, in ms, or until a refresh is due. */
  function wait(ms: number): Effect.Effect<void> {
    return Effect.raceFirst(Effect.sleep(ms), untilRefresh).pipe(
      Effect.andThen(Effect.suspend(() => {
        if (!isRefreshDue) return Effect.void;
        isRefreshDue = false;
        return Effect.sleep(host.random() * REFRESH_SPREAD_MS);
      })),
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
    refresh() {
      isRefreshDue = true;
      wake();
    },
    remove: Effect.suspend(() => {
      isRemoved = true;
      return directory.remove(peerAddress);
    }).pipe(Effect.catchTag("TableError", onFailure)),
  };
}
