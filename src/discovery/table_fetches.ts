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
 * Own reads after which a version that they did not bring counts as lacked no
 * longer: the platform does not have it. The first of them may have begun before
 * the host heard of the version.
 */
const REFUTING_READS = 2;

/** Versions of one peer of which it is remembered when they were offered. */
const MAX_VERSIONS = 100;

/** A version that this host lacks. */
interface LackedVersion {
  readonly position: TablePosition;
  /** When the peer first offered it, in monotonic ms. */
  readonly offeredMs: number;
  /** Own reads since then. */
  reads: number;
}

/** What one peer offers. */
interface Offer {
  latest: TablePosition;
  /** Whether a fetch from the peer has begun since its latest report. */
  isTried: boolean;
  lacked: readonly LackedVersion[];
}

/** Creates the fetches of a host that knows no offers. */
export function createTableFetches(host: TableFetchesHost): TableFetches {
  /** By peer address. */
  const offers = new Map<string, Offer>();
  const pending = new Set<string>();
  let startedMs = -Infinity;

  const isLacked = (position: TablePosition) =>
    isNewer(position, host.getPosition());

  function dropObsolete(): void {
    for (const [peer, offer] of offers) {
      offer.lacked = offer.lacked.filter((each) => isLacked(each.position));
      if (!isLacked(offer.latest)) offers.delete(peer);
    }
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

  function recordOffer(peer: string, position: TablePosition): void {
    const known = offers.get(peer);
    if (known !== undefined && isSamePosition(known.latest, position)) {
      known.isTried = false;
      return;
    }
    const offeredMs = host.clock.monotonicMs();
    const lacked = [
      ...(known?.lacked ?? []),
      { position, offeredMs, reads: 0 },
    ].slice(-MAX_VERSIONS);
    offers.set(peer, { latest: position, isTried: false, lacked });
  }

  return {
    offer(peer, position) {
      if (!isLacked(position)) return;
      recordOffer(peer, position);
      fetchNext();
    },
    recordRead() {
      for (const offer of offers.values()) {
        for (const each of offer.lacked) each.reads++;
        offer.lacked = offer.lacked
          .filter((each) => each.reads < REFUTING_READS);
      }
    },
    tick: fetchNext,
    getLackedMs() {
      dropObsolete();
      const nowMs = host.clock.monotonicMs();
      const lacked = [...offers.values()].flatMap((each) => each.lacked);
      return Math.max(0, ...lacked.map((each) => nowMs - each.offeredMs));
    },
  };
}

function isSamePosition(a: TablePosition, b: TablePosition): boolean {
  return a.era === b.era && a.version === b.version;
}
