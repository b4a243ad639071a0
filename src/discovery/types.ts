/**
 * Types of the platform's tables: the configuration in force and the registered
 * upstreams. A few hosts read each table from the platform and distribute it to
 * the others.
 *
 * @module
 */

import * as Data from "effect/Data";
import * as Effect from "effect/Effect";
import type { RoutingConfig } from "../routing/mod.ts";
import type { TablePosition } from "./positions.ts";

/** An upstream's own registration. */
export interface UpstreamEntry {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  /** IP address and port. */
  readonly address: string;
  /** Maximum number of requests that the upstream processes concurrently. */
  readonly slots: number;
  readonly state: "ready" | "leaving";
  /** Wall-clock start time in ms; distinguishes restarts under the same id. */
  readonly incarnation: number;
  /**
   * Remaining warm-up in ms when the entry was written; `undefined` if what it
   * says makes no sense.
   */
  readonly warmUpLeftMs: number | undefined;
  /**
   * Version of the upstream's software, not of a model's weights. Versions have
   * no order. Two upstreams of one service write streams that fit together only
   * if their versions are equal; `undefined` only in a copy of the table by a
   * host whose software doesn't read versions.
   */
  readonly softwareVersion: string | undefined;
}

/**
 * What a row of the operators' table says: the whole configuration, or that a
 * data centre is evacuated while the row exists.
 */
export type OperatorRow =
  | { readonly kind: "configuration"; readonly config: RoutingConfig }
  | { readonly kind: "evacuation"; readonly dataCentre: string };

/** A row of a platform table. */
export interface TableRow<T> {
  readonly key: string;
  /** The platform's version number of the row. */
  readonly version: number;
  readonly value: T;
}

/** All rows of a table as of one position. */
export interface TableSnapshot<T> extends TablePosition {
  readonly rows: readonly TableRow<T>[];
}

/** The changes to a table since the requested version. */
export interface TableChange<T> extends TablePosition {
  readonly changed: readonly TableRow<T>[];
  readonly removed: readonly string[];
}

/**
 * A failed call to the platform. `kind` determines the next step:
 * `history-lost` requires a full read, `unreachable` a later retry.
 */
export class TableError extends Data.TaggedError("TableError")<{
  readonly kind: "unreachable" | "history-lost";
  readonly reason: string;
}> {}

/** Fails as a platform that could not be reached. */
export function failUnreachable(
  reason: string,
): Effect.Effect<never, TableError> {
  return Effect.fail(new TableError({ kind: "unreachable", reason }));
}

/**
 * A table of the platform. Rows that can't be decoded are skipped and logged.
 */
export interface TableSource<T> {
  read(): Effect.Effect<TableSnapshot<T>, TableError>;
  /**
   * Long-polls for changes after the version given: returns when something
   * changes, or without changes after `waitMs`.
   */
  pollChanges(
    after: number,
    waitMs: number,
  ): Effect.Effect<TableChange<T>, TableError>;
}

/**
 * The platform's list of the fleet's hosts, read by hosts that know no others.
 */
export interface HostDirectory {
  /** Peer addresses of the hosts that have registered and not left. */
  read(): Effect.Effect<readonly string[], TableError>;
  add(peerAddress: string): Effect.Effect<void, TableError>;
  remove(peerAddress: string): Effect.Effect<void, TableError>;
}

/** A software version of a service's upstreams. */
export interface ServiceVersion {
  /** Digest of the service. */
  readonly service: string;
  readonly version: string;
}

/**
 * The platform's record of the software versions that serve, or have served of
 * late. Hosts write it, and read it when they start.
 */
export interface VersionDirectory {
  read(): Effect.Effect<readonly ServiceVersion[], TableError>;
  add(version: ServiceVersion): Effect.Effect<void, TableError>;
  remove(version: ServiceVersion): Effect.Effect<void, TableError>;
}

/** The platform's tables that entry hosts read, and those that they write. */
export interface EntryPlatform {
  /** The configuration and the evacuated data centres. */
  readonly config: TableSource<OperatorRow>;
  readonly upstreams: TableSource<UpstreamEntry>;
  readonly hosts: HostDirectory;
  readonly versions: VersionDirectory;
}
