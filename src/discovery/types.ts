/**
 * What a host knows from the platform: the configuration in force and the
 * upstreams that are there. Both are tables that a few hosts follow at the
 * platform and pass on to the others.
 *
 * @module
 */

import * as Data from "effect/Data";
import type * as Effect from "effect/Effect";
import type { RoutingConfig } from "../routing/mod.ts";
import type { TablePosition } from "./positions.ts";

/** An upstream as it has registered itself. */
export interface UpstreamEntry {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  /** IP address and port. */
  readonly address: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly state: "ready" | "leaving";
  /** Wall milliseconds of its start; the same id may start again. */
  readonly incarnation: number;
}

/** A row as its table holds it. */
export interface TableRow<T> {
  readonly key: string;
  /** The platform's version of the row. */
  readonly version: number;
  readonly value: T;
}

/** A whole table as of one version of the platform. */
export interface TableSnapshot<T> extends TablePosition {
  readonly rows: readonly TableRow<T>[];
}

/** What has changed in a table since the version that was asked for. */
export interface TableChange<T> extends TablePosition {
  readonly changed: readonly TableRow<T>[];
  readonly removed: readonly string[];
}

/**
 * A call to the platform that failed. `kind` tells what to do next:
 * `history-lost` asks for a whole read, `unreachable` for another try later.
 */
export class TableError extends Data.TaggedError("TableError")<{
  readonly kind: "unreachable" | "history-lost";
  readonly reason: string;
}> {}

/** A table of the platform. Rows that can't be read are left out and logged. */
export interface TableSource<T> {
  read(): Effect.Effect<TableSnapshot<T>, TableError>;
  /** Answers as soon as something changes, or with nothing after the wait. */
  pollChanges(
    after: number,
    waitMs: number,
  ): Effect.Effect<TableChange<T>, TableError>;
}

/** Addresses of the fleet's own hosts, for those that know no other. */
export interface HostDirectory {
  /** Peer addresses of hosts that have started and not left. */
  read(): Effect.Effect<readonly string[], TableError>;
  add(peerAddress: string): Effect.Effect<void, TableError>;
  remove(peerAddress: string): Effect.Effect<void, TableError>;
}

/** All that the entry hosts keep at the platform or learn from it. */
export interface EntryPlatform {
  readonly config: TableSource<RoutingConfig>;
  readonly upstreams: TableSource<UpstreamEntry>;
  readonly hosts: HostDirectory;
}
