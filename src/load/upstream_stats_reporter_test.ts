import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { EMPTY_UPSTREAM_STATS, type UpstreamStats } from "../pacing/mod.ts";
import { createUpstreamStatsCodec } from "../peers/mod.ts";
import { createAggregationTrees } from "../testing/aggregation_trees.ts";
import type { LoadPeer } from "./types.ts";
import {
  createUpstreamStatsReporter,
  STATS_PERIOD_MS,
  type UpstreamStatsReport,
} from "./upstream_stats_reporter.ts";

/** Upstreams enough for two datagrams of each host. */
const UPSTREAMS = 40;

/** Creates a fleet whose hosts exchange encoded datagrams. */
function createFleet(hostCount: number, dataCentres: number) {
  const clock = createManualClock(1_000);
  const codec = createUpstreamStatsCodec("secret");
  const peers: LoadPeer[] = Array.from({ length: hostCount }, (_, at) => ({
    peerAddress: `10.0.0.${at}:7400`,
    dataCentre: `dc-${at % dataCentres}`,
  }));
  const started = new Set(peers);
  let answersOf = (at: number, round: number) => at + 1 + round;
  let isLost = (_report: UpstreamStatsReport) => false;
  let round = 0;
  let datagrams = 0;

  function createOwnStats(at: number): Map<number, UpstreamStats> {
    const stats = {
      ...EMPTY_UPSTREAM_STATS,
      answers: answersOf(at, round),
      weightSteps: -at,
    };
    return new Map(
      Array.from({ length: UPSTREAMS }, (_, upstream) => [upstream, stats]),
    );
  }

  const aggregation = createAggregationTrees({
    clock,
    peers,
    getAlive: () => peers.filter((each) => started.has(each)),
  });
  const hosts = peers.map((self, at) =>
    createUpstreamStatsReporter({
      clock,
      self,
      tree: aggregation.trees[at]!,
      createOwnStats: () => createOwnStats(at),
    })
  );

  function runRound(): void {
    aggregation.advance(STATS_PERIOD_MS);
    for (const [at, host] of hosts.entries()) {
      if (!started.has(peers[at]!)) continue;
      for (const { to, report } of host.createReports()) {
        const received = codec.tryDecode(codec.encode(report))!;
        for (const address of to) {
          datagrams++;
          if (isLost(report)) continue;
          hosts[peers.findIndex((each) => each.peerAddress === address)]!
            .receive(received);
        }
      }
    }
    round++;
  }

  return {
    peers,
    started,
    runRounds(count: number): void {
      for (let each = 0; each < count; each++) runRound();
    },
    getOthers: (at: number) =>
      Array.from(
        { length: UPSTREAMS },
        (_, upstream) => hosts[at]!.getOthersStats(upstream),
      ),
    setAnswers: (next: typeof answersOf) => void (answersOf = next),
    setLost: (next: typeof isLost) => void (isLost = next),
    countDatagrams: () => datagrams,
  };
}

/** Asserts that each host knows the sum over exactly the other hosts. */
function assertSums(fleet: ReturnType<typeof createFleet>): void {
  const all = fleet.peers.map((_, at) => at);
  const alive = all.filter((at) => fleet.started.has(fleet.peers[at]!));
  for (const at of alive) {
    const others = alive.filter((each) => each !== at);
    const answers = others.reduce((sum, each) => sum + each + 1, 0);
    const steps = others.reduce((sum, each) => sum - each, 0);
    for (const stats of fleet.getOthers(at)) {
      strictEqual(stats.answers, answers);
      strictEqual(stats.weightSteps, steps);
    }
  }
}

test("59 hosts in 6 data centres know the sums over the other hosts", () => {
  // Guards against samples that are counted twice, or not at all.
  const fleet = createFleet(59, 6);
  fleet.setAnswers((at) => at + 1);
  fleet.runRounds(3);
  assertSums(fleet);
});

test("a host subtracts the report that is in the sum, also after losses", () => {
  // Guards against a host that subtracts a newer report than the sum contains.
  // Its own samples would then count as those of others, or negatively.
  const fleet = createFleet(18, 2);
  fleet.setAnswers((at, round) => at === 0 ? 1_000 * (round + 1) : at + 1);
  fleet.runRounds(4);
  // The second half of the first host's report is lost from now on.
  fleet.setLost(({ from, part }) => from === "10.0.0.0:7400" && part === 1);
  fleet.runRounds(3);
  const expected = fleet.peers.slice(1).reduce((sum, _, at) => sum + at + 2, 0);
  for (const stats of fleet.getOthers(0)) strictEqual(stats.answers, expected);
});

test("a lost datagram is replaced by that of the next round", () => {
  const fleet = createFleet(18, 3);
  fleet.setAnswers((at) => at + 1);
  let sent = 0;
  fleet.setLost(() => sent++ % 5 === 0);
  fleet.runRounds(4);
  fleet.setLost(() => false);
  fleet.runRounds(3);
  assertSums(fleet);
});

test("a host that joins knows the others and is known within three rounds", () => {
  const fleet = createFleet(20, 2);
  fleet.setAnswers((at) => at + 1);
  fleet.started.delete(fleet.peers[19]!);
  fleet.runRounds(3);
  assertSums(fleet);
  fleet.started.add(fleet.peers[19]!);
  fleet.runRounds(3);
  assertSums(fleet);
});

test("a host without aggregates for five seconds uses its own samples only", () => {
  const fleet = createFleet(18, 2);
  fleet.runRounds(3);
  ok(fleet.getOthers(0)[0]!.answers > 0);
  fleet.setLost(() => true);
  fleet.runRounds(6);
  // Of an aggregator, the last sum of its own data centre expires as well.
  for (const stats of fleet.getOthers(0)) {
    deepStrictEqual(stats, EMPTY_UPSTREAM_STATS);
  }
});

test("a fleet of 16 hosts sends no statistics of upstreams", () => {
  const fleet = createFleet(16, 2);
  fleet.runRounds(3);
  strictEqual(fleet.countDatagrams(), 0);
});
