/**
 * Decides from which hosts a newer copy of one table is fetched, and knows for
 * how long this host has lacked a version that another one has.
 *
 * Load: some eighty hosts fetch the same table from the few that read it, while
 * one of these is short of processor time, or its link is full or cut one way.
 *
 * Failure prevented: a host that waits for one reader, and drops what others
 * report meanwhile, asks the same one again afterwards. Its datagrams confirm
 * the table, so that the host keeps an outdated configuration for good. Each
 * report is therefore kept as an offer until this host has that version. The
 * next offer is taken once a fetch has failed or takes long.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import { isNewer, type TablePosition } from "./positions.ts";

/** Dependencies of the fetches of one table. */
export interface TableFetchesHost {
  readonly clock: Clock;
  /** The position up to which this host's replica is current. */
  getPosition(): TablePosition;
  /**
   * Fetches the copy of the host at this address; settles once it is in force
   * or the fetch has failed, and never rejects.
   */
  fetch(peerAddress: string): Promise<void>;
}

/** The fetches of one table. */
export interface TableFetches {
  /** Records that the host at this address has this version. */
  offer(peerAddress: string, position: TablePosition): void;
  /** Records that this host has read the table from the platform. */
  recordRead(): void;
  /** Starts a further fetch if the present ones take long. */
  tick(): void;
  /**
   * Time for which this host has lacked a version that another one has, in ms;
   * 0 if it lacks none.
   */
  getLackedMs(): number;
}

/** Time after which a fetch is joined by one from another host, in ms. */
const HEDGE_DELAY_MS = 300;

/** Fetches of a table at the same time. */
const MAX_PENDING = 3;

/**
 * Own reads after which an offer that they did not confirm is dropped. The first
 * of them may have begun before the offer.
 */
const REFUTING_READS = 2;

/** Versions of which it is remembered when this host first heard of them. */
const MAX_HEARD = 100;

interface Offer {
  readonly position: TablePosition;
  isTried: boolean;
  /** Own reads since the offer. */
  reads: number;
}

interface HeardVersion {
  readonly position: TablePosition;
  /** When this host first heard of it, in monotonic ms. */
  readonly atMs: number;
}

/** Creates the fetches of a host that knows no offers. */
export function createTableFetches(host: TableFetchesHost): TableFetches {
  const offers = new Map<string, Offer>();
  /** What the platform did not have although a host had offered it. */
  const refuted = new Map<string, TablePosition>();
  const pending = new Set<string>();
  /** Versions that this host lacks, in ascending order. */
  let heard: readonly HeardVersion[] = [];
  let startedMs = -Infinity;

  const isLacked = (position: TablePosition) =>
    isNewer(position, host.getPosition());

  function dropObsolete(): void {
    for (const [peer, { position }] of offers) {
      if (!isLacked(position)) offers.delete(peer);
    }
    heard = offers.size === 0
      ? []
      : heard.filter((each) => isLacked(each.position));
  }

  function recordHeard(position: TablePosition): void {
    const newest = heard.at(-1);
    if (newest !== undefined && !isNewer(position, newest.position)) return;
    const atMs = host.clock.monotonicMs();
    heard = [...heard, { position, atMs }].slice(-MAX_HEARD);
  }

  function tryGetNextPeer(): string | undefined {
    for (const [peer, { isTried }] of offers) {
      if (!isTried && !pending.has(peer)) return peer;
    }
    return undefined;
  }

  function fetchNext(): void {
    dropObsolete();
    const isHedgeDue = host.clock.monotonicMs() - startedMs >= HEDGE_DELAY_MS;
    if (pending.size > 0 && !isHedgeDue) return;
    const peer = pending.size < MAX_PENDING ? tryGetNextPeer() : undefined;
    if (peer !== undefined) void fetchFrom(peer);
  }

  async function fetchFrom(peer: string): Promise<void> {
    offers.get(peer)!.isTried = true;
    pending.add(peer);
    startedMs = host.clock.monotonicMs();
    await host.fetch(peer);
    pending.delete(peer);
    fetchNext();
  }

  return {
    offer(peer, position) {
      if (!isLacked(position)) return;
      const refutedPosition = refuted.get(peer);
      const isRefuted = refutedPosition !== undefined &&
        !isNewer(position, refutedPosition);
      if (isRefuted) return;
      const known = offers.get(peer);
      const isSame = known !== undefined && !isNewer(position, known.position);
      const reads = isSame ? known.reads : 0;
      offers.set(peer, { position, isTried: false, reads });
      recordHeard(position);
      fetchNext();
    },
    recordRead() {
      dropObsolete();
      for (const [peer, offer] of offers) {
        offer.reads++;
        if (offer.reads < REFUTING_READS) continue;
        offers.delete(peer);
        refuted.set(peer, offer.position);
      }
    },
    tick: fetchNext,
    getLackedMs() {
      dropObsolete();
      const [oldest] = heard;
      return oldest === undefined ? 0 : host.clock.monotonicMs() - oldest.atMs;
    },
  };
}
