/**
 * Decides which placements of prompts a host announces, and to which hosts:
 * in small fleets to all, otherwise along the tree of the load reports
 * (`load/load_reporter.ts`). A host announces to the aggregator of its data
 * centre, which passes on to the other aggregators and to its hosts, and passes
 * on to its hosts what comes from other aggregators.
 *
 * Load: 390 hosts in 6 data centres, between which traffic is billed by volume.
 *
 * Failures prevented:
 * - Each host announces to each other one, and most of these datagrams cross the
 *   link between data centres.
 * - Several hosts send the first prompts with a prefix to the same upstream, and
 *   each announcement is passed on. Of those in one round, one is sent.
 * - Hosts that disagree about the aggregator pass announcements on in circles.
 *   What a host receives from outside is sent only to the hosts of its own data
 *   centre, and only by the aggregator.
 *
 * A lost datagram costs one repeated prefill; the next announcement of the
 * placement replaces it.
 *
 * @module
 */

import {
  getAggregator,
  getDataCentres,
  isFullMesh,
  type LoadPeer,
} from "../load/mod.ts";
import type { Placement, PlacementReport } from "./types.ts";

/** A datagram with the peer addresses of its receivers. */
export interface OutgoingPlacements {
  readonly to: readonly string[];
  readonly report: PlacementReport;
}

/** Dependencies of the announcer, supplied by the process. */
export interface PlacementAnnouncerHost {
  readonly self: LoadPeer;
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
  const { self } = host;
  /** New placements of this host. */
  let own: Placement[] = [];
  /** Those that hosts of this data centre have announced. */
  let local: Placement[] = [];
  /** Those that other aggregators have announced. */
  let remote: Placement[] = [];

  /** Returns the datagrams that the aggregator sends. */
  function createAggregates(
    hosts: readonly LoadPeer[],
  ): readonly OutgoingPlacements[] {
    const aggregators = getDataCentres(hosts)
      .filter((each) => each !== self.dataCentre)
      .map((each) => getAggregator(hosts, each));
    const ownHosts = getOthers(hosts, self)
      .filter((each) => each.dataCentre === self.dataCentre)
      .map((each) => each.peerAddress);
    const newPlacements = [...own, ...local];
    return [
      ...createDatagrams("data-centre", newPlacements, aggregators),
      ...createDatagrams("fleet", [...newPlacements, ...remote], ownHosts),
    ];
  }

  function createRound(): readonly OutgoingPlacements[] {
    const hosts = host.getHosts();
    if (isFullMesh(hosts.length)) {
      const others = getOthers(hosts, self).map((each) => each.peerAddress);
      return createDatagrams("host", own, others);
    }
    const aggregator = getAggregator(hosts, self.dataCentre);
    return aggregator === self.peerAddress
      ? createAggregates(hosts)
      : createDatagrams("host", own, [aggregator]);
  }

  return {
    announce: (placement) => void own.push(placement),
    receive({ scope, placements }) {
      for (const placement of placements) {
        if (!host.onPlacement(placement)) continue;
        if (scope === "host") local.push(placement);
        else if (scope === "data-centre") remote.push(placement);
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
