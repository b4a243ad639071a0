/**
 * Types of the search for the software version at which a stream began.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type * as Effect from "effect/Effect";
import type { TableError, VersionDirectory } from "../discovery/mod.ts";
import type { Fact } from "../membership/mod.ts";

/** A host that may be told of a stream, or asked about one. */
export interface KeeperHost {
  readonly peerAddress: string;
  readonly dataCentre: string;
}

/** Dependencies of the stream versions, supplied by the process. */
export interface StreamVersionsHost {
  readonly clock: Clock;
  /** Peer address of this host. */
  readonly self: string;
  /** The hosts that are alive, including this one. */
  getHosts(): readonly KeeperHost[];
  /** The platform's record of versions. */
  readonly directory: VersionDirectory;
  /** Called when the record could not be read or written. */
  onRecordFailure(reason: string): void;
  /** A random number in [0, 1). */
  random(): number;
  /** Time since this host's table of upstreams was last confirmed, in ms. */
  getTableAgeMs(): number;
  /**
   * Reads the table from the platform and calls `updateRows` if it changed; the
   * read begins when the effect does.
   */
  readonly readTable: Effect.Effect<void, TableError>;
  /** Sends the facts to one host, which does not gossip them. */
  sendFacts(facts: readonly Fact[], peerAddress: string): void;
  /** Sends the fact to all hosts, which get it within one network delay. */
  broadcastFact(fact: Fact): void;
  /** Sends the fact to all hosts, in a few seconds. */
  gossipFact(fact: Fact): void;
}

/**
 * Who named the version: this host's own memory, another host, or the table of
 * upstreams, in which the service has a single one.
 */
export type VersionSource = "own" | "keeper" | "single-version";

/**
 * By what a single version is certain: a read of the platform that began after
 * the request came, such a read by another host that was asked, or that all
 * hosts which may have begun the stream know no other.
 */
export type Certainty = "platform" | "other-host" | "all-hosts";

/** What another host said of a stream. */
export interface HostAnswer {
  readonly from: string;
  readonly said: KeeperAnswer["kind"];
}

/** How many hosts were asked about a stream, and answered. */
export interface AskedHosts {
  readonly asked: number;
  readonly answered: number;
  /** What the first few of them answered; absent if none did. */
  readonly answers?: readonly HostAnswer[];
}

/** What a host knows of a stream that it is asked to take up. */
export type FoundVersion =
  | { readonly kind: "none" }
  | {
    readonly kind: "found";
    readonly version: string;
    readonly from: VersionSource;
    /** Absent unless the version is a single one. */
    readonly confirmedBy?: Certainty;
  } & AskedHosts
  | { readonly kind: "unknown"; readonly versions: number } & AskedHosts;

/** What another host answers about a stream. */
export type KeeperAnswer =
  | { readonly kind: "known"; readonly version: string }
  /** It knows a single version of the service, and has watched long enough. */
  | { readonly kind: "single-version"; readonly version: string }
  /** The platform has named it a single one since it was asked. */
  | { readonly kind: "confirmed-version"; readonly version: string }
  /** It knows none or several versions, or can't tell whether there are more. */
  | { readonly kind: "not-known" };

/** Time for which streams and versions are remembered, in ms. */
export const MEMORY_MS = 30_000;
