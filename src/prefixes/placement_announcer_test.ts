import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { createAggregationTrees } from "../testing/aggregation_trees.ts";
import { createManualClock } from "../core/mod.ts";
import type { LoadPeer } from "../load/mod.ts";
import { createPlacementCodec } from "../peers/mod.ts";
import {
  ANNOUNCEMENT_ROUND_MS,
  createPlacementAnnouncer,
  MAX_PLACEMENTS_PER_DATAGRAM,
} from "./placement_announcer.ts";
import {
  ANNOUNCEMENT_PERIOD_MS,
  createPrefixDirectory,
} from "./prefix_directory.ts";
import type { Placement } from "./types.ts";

interface Datagram {
  readonly from: LoadPeer;
  readonly to: LoadPeer;
  readonly bytes: number;
}

/** Creates a fleet whose hosts exchange encoded datagrams. */
function createFleet(hostCount: number, dataCentres: number) {
  const clock = createManualClock();
  const codec = createPlacementCodec("secret");
  const peers: LoadPeer[] = Array.from({ length: hostCount }, (_, at) => ({
    peerAddress: `10.0.0.${at}:7400`,
    dataCentre: `dc-${at % dataCentres}`,
  }));
  const aggregation = createAggregationTrees({ clock, peers });
  // Hosts have reported to each other before the first placement.
  for (let round = 0; round < 3; round++) aggregation.runRound();
  const hosts = peers.map((self, at) => {
    const directory = createPrefixDirectory({ nowMs: clock.monotonicMs });
    const announcer = createPlacementAnnouncer({
      self,
      tree: aggregation.trees[at]!,
      getHosts: () => peers,
      onPlacement: directory.receive,
    });
    return { directory, announcer };
  });
  const sent: Datagram[] = [];
  let isLost = (_datagram: Datagram) => false;

  /** Datagrams arrive after all hosts have sent theirs. */
  function runRound(): void {
    const arriving: (() => void)[] = [];
    for (const [at, { announcer }] of hosts.entries()) {
      for (const { to, report } of announcer.createReports()) {
        const bytes = codec.encode(report);
        for (const address of to) {
          const target = peers.findIndex((each) =>
            each.peerAddress === address
          );
          const [from, receiver] = [peers[at]!, peers[target]!];
          const datagram = { from, to: receiver, bytes: bytes.length };
          sent.push(datagram);
          if (isLost(datagram)) continue;
          arriving.push(() =>
            hosts[target]!.announcer.receive(codec.tryDecode(bytes)!)
          );
        }
      }
    }
    for (const arrive of arriving) arrive();
    aggregation.advance(ANNOUNCEMENT_ROUND_MS);
  }

  return {
    clock,
    sent,
    start(at: number, placement: Placement): void {
      const { directory, announcer } = hosts[at]!;
      if (directory.record(placement)) announcer.announce(placement);
    },
    runRounds(count: number): void {
      for (let each = 0; each < count; each++) runRound();
    },
    /** Number of hosts that know a holder of the prefix. */
    countKnowing: (prefix: number) =>
      hosts.filter((each) => each.directory.getHolders(prefix).length > 0)
        .length,
    setLost: (next: typeof isLost) => void (isLost = next),
  };
}

test("a placement reaches all of 59 hosts within three rounds, and each other data centre once", () => {
  // Guards against announcements that most hosts send over the billed links
  // between data centres, and against ones that go round in circles.
  const fleet = createFleet(59, 6);
  // Several hosts of a data centre may start a prompt with a prefix at once.
  for (const at of [0, 6, 12]) fleet.start(at, { prefix: 1, upstream: 7 });
  fleet.runRounds(3);
  strictEqual(fleet.countKnowing(1), 59);
  const pairs = fleet.sent
    .filter(({ from, to }) => from.dataCentre !== to.dataCentre)
    .map(({ from, to }) => `${from.dataCentre} ${to.dataCentre}`);
  deepStrictEqual(
    pairs.sort(),
    [1, 2, 3, 4, 5].map((each) => `dc-0 dc-${each}`),
  );
  const sentInTime = fleet.sent.length;
  fleet.start(30, { prefix: 1, upstream: 7 });
  fleet.runRounds(10);
  strictEqual(fleet.sent.length, sentInTime);
});

test("what a lost datagram said is announced again after 10 s", () => {
  const fleet = createFleet(59, 6);
  const placement = { prefix: 1, upstream: 7 };
  fleet.setLost(({ to }) => to.dataCentre !== "dc-0");
  fleet.start(0, placement);
  fleet.runRounds(3);
  strictEqual(fleet.countKnowing(1), 10);
  fleet.setLost(() => false);
  fleet.clock.advance(ANNOUNCEMENT_PERIOD_MS);
  fleet.start(6, placement);
  fleet.runRounds(3);
  strictEqual(fleet.countKnowing(1), 59);
});

test("hosts of a fleet of 9 announce to each other, in one round", () => {
  // Guards against a delay by an aggregator where none is needed.
  const fleet = createFleet(9, 3);
  fleet.start(4, { prefix: 1, upstream: 7 });
  fleet.runRounds(1);
  strictEqual(fleet.countKnowing(1), 9);
  fleet.runRounds(5);
  strictEqual(fleet.sent.length, 8);
  ok(fleet.sent.every(({ from }) => from.peerAddress === "10.0.0.4:7400"));
});

test("a burst of placements is sent in datagrams of up to 1,100 bytes", () => {
  // Guards against datagrams that are split into several IP packets, of which
  // each loss is a loss of the whole.
  const fleet = createFleet(18, 2);
  const count = MAX_PLACEMENTS_PER_DATAGRAM + 1;
  for (let at = 0; at < count; at++) {
    fleet.start(0, { prefix: 0xffffffff - at, upstream: at });
  }
  fleet.runRounds(3);
  for (const at of [0, count - 1]) {
    strictEqual(fleet.countKnowing(0xffffffff - at), 18);
  }
  ok(fleet.sent.every(({ bytes }) => bytes < 1_100));
});
