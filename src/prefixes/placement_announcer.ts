/**
 * Decides which placements of prompts a host announces, and to which hosts:
 * in small fleets to all, otherwise along the tree of the load reports
 * (`load/aggregation_tree.ts`). A host announces to its parent, which passes on
 * to its own parent and to its children; a root passes on to the other roots,
 * and to its children what comes from these.
 *
 * Load: 390 hosts in 6 data centres, between which traffic is billed by volume.
 *
 * Failures prevented:
 * - Each host announces to each other one, and most of these datagrams cross the
 *   link between data centres.
 * - Several hosts send the first prompts with a prefix to the same upstream, and
 *   each announcement is passed on. Of those in one round, one is sent.
 * - Hosts pass announcements on in circles. What comes from other data centres
 *   is passed on to the children only, and nothing twice.
 *
 * A lost datagram costs one repeated prefill; the next announcement of the
 * placement replaces it.
 *
 * @module
 */

import type { LoadPeer, TreePlace } from "../load/mod.ts";
import type { Placement, PlacementReport } from "./types.ts";

/** A datagram with the peer addresses of its receivers. */
export interface OutgoingPlacements {
  readonly to: readonly string[];
  readonly report: PlacementReport;
}

/** Dependencies of the announcer, supplied by the process. */
export interface PlacementAnnouncerHost {
  readonly self: LoadPeer;
  readonly tree: TreePlace;
  /** The hosts that are alive, this one included. */
  getHosts(): readonly LoadPeer[];
  /**
   * Receives a placement of another host. Returns false if its announcement was
   * known, so that it is not passed on.
   */
  onPlacement(placement: Placement): boolean;
}

/** Creates the announcements of one host, and receives those of others. */
export interface PlacementAnnouncer {
  /** Announces a placement of this host in the next round. */
  announce(placement: Placement): void;
  receive(report: PlacementReport): void;
  /** Returns the datagrams of one round; none if nothing is new. */
  createReports(): readonly OutgoingPlacements[];
}

/**
 * Time between two rounds, in ms. An announcement reaches all hosts within three
 * rounds, the time after which an upstream may be fetched from.
 */
export const ANNOUNCEMENT_ROUND_MS = 100;

/**
 * Placements in one datagram. With 8 bytes for each and up to 24 bytes for the
 * rest, the payload stays below 1,100 bytes.
 */
export const MAX_PLACEMENTS_PER_DATAGRAM = 130;

/** Creates the announcer of a host that knows of no placement. */
export function createPlacementAnnouncer(
  host: PlacementAnnouncerHost,
): PlacementAnnouncer {
  const { self, tree } = host;
  /** New placements of this host. */
  let own: Placement[] = [];
  /** Those that children have announced. */
  let local: Placement[] = [];
  /** Those that other roots or the parent have announced. */
  let remote: Placement[] = [];

  function createRound(): readonly OutgoingPlacements[] {
    if (!tree.isUsed()) {
      const others = getOthers(host.getHosts(), self)
        .map((each) => each.peerAddress);
      return createDatagrams("host", own, others);
    }
    const newPlacements = [...own, ...local];
    const parent = tree.tryGetParent();
    const upward = parent === undefined
      ? createDatagrams("data-centre", newPlacements, tree.getOtherRoots())
      : createDatagrams("host", newPlacements, [parent]);
    const all = [...newPlacements, ...remote];
    return [...upward, ...createDatagrams("fleet", all, tree.getChildren())];
  }

  return {
    announce: (placement) => void own.push(placement),
    receive({ scope, placements }) {
      for (const placement of placements) {
        if (!host.onPlacement(placement)) continue;
        if (scope === "host") local.push(placement);
        else remote.push(placement);
      }
    },
    createReports() {
      const isNothingNew = own.length + local.length + remote.length === 0;
      if (isNothingNew) return [];
      const round = createRound();
      [own, local, remote] = [[], [], []];
      return round;
    },
  };
}

function getOthers(
  hosts: readonly LoadPeer[],
  self: LoadPeer,
): readonly LoadPeer[] {
  return hosts.filter((each) => each.peerAddress !== self.peerAddress);
}

function createDatagrams(
  scope: PlacementReport["scope"],
  placements: readonly Placement[],
  to: readonly string[],
): readonly OutgoingPlacements[] {
  if (to.length === 0) return [];
  const datagrams: OutgoingPlacements[] = [];
  const step = MAX_PLACEMENTS_PER_DATAGRAM;
  for (let at = 0; at < placements.length; at += step) {
    const part = placements.slice(at, at + step);
    datagrams.push({ to, report: { scope, placements: part } });
  }
  return datagrams;
}
