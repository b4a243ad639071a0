/**
 * What a host knows of the placements of shared prefixes, by the upstreams of
 * its directory of upstreams. Joins the prefix directory and the announcer.
 *
 * Load: up to 600 upstreams, of which some restart or leave at any time.
 *
 * Failure prevented: a restarted upstream counts as a holder of what its former
 * process had cached, or one that has left as a source. Another incarnation has
 * another digest, and only holders among the upstreams given are returned.
 * Those that have left expire.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import { getInstanceName, type UpstreamEntry } from "../discovery/mod.ts";
import type { LoadPeer, TreePlace } from "../load/mod.ts";
import type { PrefixHolder } from "../placement/mod.ts";
import {
  createPlacementAnnouncer,
  type PlacementAnnouncer,
} from "./placement_announcer.ts";
import { createPrefixDirectory } from "./prefix_directory.ts";

/** Dependencies of the placements, supplied by the process. */
export interface PrefixPlacementsHost {
  readonly clock: Clock;
  readonly self: LoadPeer;
  readonly tree: TreePlace;
  /** The hosts that are alive, this one included. */
  getHosts(): readonly LoadPeer[];
  getDigest(name: string): number;
  /** Called with each placement, of this host or of another, for the metrics. */
  onRecorded(source: PlacementSource): void;
}

/** Who sent the prompt of a placement. */
export type PlacementSource = "own" | "peer";

/** The placements that one host knows. */
export interface PrefixPlacements {
  readonly announcer: PlacementAnnouncer;
  /** Returns the digest of an affinity key. */
  getPrefix(affinityKey: string): number;
  /** Records that this host sends a prompt with the prefix to the upstream. */
  record(prefix: number, upstream: UpstreamEntry): void;
  /**
   * Returns those of the upstreams that hold the prefix. The list of upstreams
   * must not be changed afterwards.
   */
  getHolders(
    prefix: number,
    upstreams: readonly UpstreamEntry[],
  ): readonly PrefixHolder[];
  /** Returns a number that differs after a holder of the prefix was added. */
  getRevision(prefix: number): number;
  /** Number of prefixes with a holder. */
  count(): number;
}

/** Creates the placements of a host that knows none. */
export function createPrefixPlacements(
  host: PrefixPlacementsHost,
): PrefixPlacements {
  const directory = createPrefixDirectory({ nowMs: host.clock.monotonicMs });
  const announcer = createPlacementAnnouncer({
    self: host.self,
    tree: host.tree,
    getHosts: host.getHosts,
    onPlacement(placement) {
      const isNew = directory.receive(placement);
      if (isNew) host.onRecorded("peer");
      return isNew;
    },
  });
  /**
   * Ids by digest, by the list of upstreams. The digests of 600 upstreams would
   * otherwise be looked up for each waiting prompt.
   */
  const idsByList = new WeakMap<
    readonly UpstreamEntry[],
    ReadonlyMap<number, string>
  >();

  const getDigest = (entry: UpstreamEntry) =>
    host.getDigest(getInstanceName(entry));

  function getIds(
    upstreams: readonly UpstreamEntry[],
  ): ReadonlyMap<number, string> {
    const known = idsByList.get(upstreams);
    if (known !== undefined) return known;
    const ids = new Map(upstreams.map((each) => [getDigest(each), each.id]));
    idsByList.set(upstreams, ids);
    return ids;
  }

  return {
    announcer,
    getPrefix: host.getDigest,
    record(prefix, upstream) {
      const placement = { prefix, upstream: getDigest(upstream) };
      if (directory.record(placement)) announcer.announce(placement);
      host.onRecorded("own");
    },
    getHolders(prefix, upstreams) {
      const holders = directory.getHolders(prefix);
      if (holders.length === 0) return [];
      const ids = getIds(upstreams);
      return holders.flatMap(({ upstream, ageMs }) => {
        const id = ids.get(upstream);
        return id === undefined ? [] : [{ upstream: id, ageMs }];
      });
    },
    getRevision: directory.getRevision,
    count: directory.count,
  };
}
