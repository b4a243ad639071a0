/**
 * Copies of the platform's tables between hosts: fetches those that are newer
 * than this host's replicas, and encodes these for the hosts that fetch from it.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Clock } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import {
  createTableFetches,
  decodeTableCopy,
  type TableFetches,
  type TableName,
  type TablePosition,
  type TableReplica,
} from "../discovery/mod.ts";

/** A table's encoded snapshot as fetched from another host. */
export interface FetchedTable {
  readonly content: Uint8Array;
  /** Size of the content as it was sent, which may be compressed. */
  readonly sentBytes: number;
}

/** The outcome of fetching a table from another host. */
export type FetchOutcome = "newer" | "not-newer" | "no-answer";

/** Dependencies of the copies. */
export interface TableCopiesHost {
  readonly clock: Clock;
  log(decision: Decision): void;
  /** Fetches a table from a host; `undefined` if that fails. */
  fetchTable(name: string, peer: string): Promise<FetchedTable | undefined>;
  onFetched(table: string, outcome: FetchOutcome): void;
  /** Called when a peer's copy has replaced the replica. */
  onNewer(table: TableName, peer: string): void;
}

/** The replicas of a host by table. */
export type TableReplicas = Readonly<Record<TableName, TableReplica<unknown>>>;

/** The copies that a host fetches and gives. */
export interface TableCopies {
  readonly fetches: Readonly<Record<TableName, TableFetches>>;
  /** The same bytes for as long as the rows stay, so that they are encoded once. */
  getEncoded(table: TableName): Uint8Array;
}

interface EncodedTable {
  readonly position: TablePosition;
  readonly content: Uint8Array;
}

/** Creates the copies of a host with these replicas. */
export function createTableCopies(
  host: TableCopiesHost,
  replicas: TableReplicas,
): TableCopies {
  const { clock } = host;
  const fetches = {
    config: createFetches("config"),
    upstreams: createFetches("upstreams"),
  };
  const encoded = new Map<TableName, EncodedTable>();

  function createFetches(table: TableName): TableFetches {
    return createTableFetches({
      clock,
      getPosition: () => replicas[table].getPosition(),
      fetch: (peer) => fetchFrom(table, peer),
    });
  }

  /** Fetches the peer's copy and puts it into force if it is newer. */
  async function fetchFrom(table: TableName, peer: string): Promise<void> {
    const sinceMs = clock.monotonicMs();
    const getTimes = () => ({
      tookMs: Math.round(clock.monotonicMs() - sinceMs),
      lackedMs: Math.round(fetches[table].getLackedMs()),
    });
    try {
      const fetched = await host.fetchTable(table, peer);
      const times = getTimes();
      if (fetched === undefined) {
        host.log({ event: "table-not-fetched", table, peer, ...times });
        host.onFetched(table, "no-answer");
        return;
      }
      const isNewer = apply(table, peer, fetched);
      const bytes = fetched.sentBytes;
      const outcome = { ...times, bytes, isNewer };
      host.log({ event: "table-fetched", table, peer, ...outcome });
      host.onFetched(table, isNewer ? "newer" : "not-newer");
      if (isNewer) host.onNewer(table, peer);
    } catch (err) {
      const reason = String(err);
      host.log({ event: "task-failed", task: `fetch ${table}`, reason });
    }
  }

  /** Replaces the replica by a copy; false if the copy is no newer. */
  function apply(
    table: TableName,
    peer: string,
    { content }: FetchedTable,
  ): boolean {
    const text = Buffer.from(content).toString("utf8");
    const { snapshot, unusableRows } = decodeTableCopy(table, text);
    if (unusableRows > 0) {
      host.log({ event: "copy-doubtful", table, peer, unusableRows });
    }
    return replicas[table].replace(snapshot);
  }

  return {
    fetches,
    getEncoded(table) {
      const position = replicas[table].getChangedPosition();
      const known = encoded.get(table);
      if (known?.position === position) return known.content;
      const snapshot = replicas[table].getSnapshot();
      const content = Buffer.from(JSON.stringify(snapshot));
      encoded.set(table, { position, content });
      return content;
    },
  };
}
