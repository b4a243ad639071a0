/**
 * Keeps this host's address at the platform, and finds others there when the
 * seeds of the settings are gone. Hosts that have met tell each other the rest,
 * so that the platform is asked seldom.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { HostDirectory, TableError } from "../discovery/mod.ts";

/** What following needs of the process. */
export interface HostDirectoryHost {
  readonly directory: HostDirectory;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
  setSeeds(addresses: readonly string[]): void;
  /** This host has met no other. */
  isAlone(): boolean;
  onFailure(reason: string): void;
}

/** Tasks of one host at the directory. */
export interface HostDirectoryTasks {
  /** Registers and reads; never ends. */
  readonly run: Effect.Effect<never>;
  /** Takes this host's address out, once. */
  readonly remove: Effect.Effect<void>;
}

/** While alone the directory is read this often, in ms. */
const ALONE_MS = 1_000;

/** Otherwise; a host missed by all others shows up by then. */
const REFRESH_MS = 20_000;

/** After a failed call, in ms. */
const RETRY_MS = 1_500;

/** Makes the tasks. */
export function followHostDirectory(
  host: HostDirectoryHost,
): HostDirectoryTasks {
  const { directory, peerAddress } = host;

  const onFailure = (err: TableError) =>
    Effect.sync(() => host.onFailure(err.reason));

  const register = directory.add(peerAddress);

  const read = directory.read().pipe(Effect.map((addresses) => {
    host.setSeeds([...new Set([...host.seeds, ...addresses])]);
    return host.isAlone() ? ALONE_MS : REFRESH_MS;
  }));

  const readOnce = read.pipe(
    Effect.catchTag(
      "TableError",
      (err) => onFailure(err).pipe(Effect.as(RETRY_MS)),
    ),
    Effect.flatMap((waitMs) => Effect.sleep(waitMs)),
  );

  const registerOnce: Effect.Effect<void> = register.pipe(
    Effect.catchTag("TableError", (err) =>
      onFailure(err).pipe(
        Effect.andThen(Effect.sleep(RETRY_MS)),
        Effect.andThen(Effect.suspend(() => registerOnce)),
      )),
  );

  return {
    run: registerOnce.pipe(Effect.andThen(Effect.forever(readOnce))),
    remove: directory.remove(peerAddress).pipe(
      Effect.catchTag("TableError", onFailure),
    ),
  };
}
