import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { createAggregationTrees } from "../testing/aggregation_trees.ts";
import { createManualClock } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import type { UpstreamEntry } from "../discovery/mod.ts";
import { createUpstreamStatsReporter, type LoadPeer } from "../load/mod.ts";
import { addPacingStats, EMPTY_PACING_STATS } from "../pacing/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import { createUpstreamEntry } from "../testing/routing_fixture.ts";
import { createServicePacings } from "./service_pacings.ts";
import { createUpstreamPacings } from "./upstream_pacings.ts";

const SERVICE = "chat";
const SHORTEST_TARGET_MS = 500;
const TARGET_MS = 800;

/** Its multiples, modulo 1, are evenly distributed over any part of them. */
const GOLDEN_RATIO = 0.618_034;

/**
 * An upstream of which more and more responses pause too long above a limit:
 * half of them at the double limit.
 */
interface Engine {
  readonly id: string;
  /** Relative to 50 tokens per ms. */
  readonly speed: number;
  readonly smoothTokens: number;
}

const SLOW = { id: "slow-1", speed: 0.7, smoothTokens: 8_000 };
const FAST = { id: "fast", speed: 1.7, smoothTokens: Infinity };
const ENGINES: readonly Engine[] = [SLOW, { ...SLOW, id: "slow-2" }, FAST];

/** Creates hosts in two data centres that exchange their statistics. */
function createFleet(hostCount: number) {
  const clock = createManualClock(1_000);
  const peers: LoadPeer[] = Array.from({ length: hostCount }, (_, at) => ({
    peerAddress: `10.0.0.${at}:7400`,
    dataCentre: `dc-${at % 2}`,
  }));
  const entries = new Map(ENGINES.map(({ id }) => [id, createEntry(id, 1)]));
  const decisions: Decision[] = [];
  let running = hostCount;
  const aggregation = createAggregationTrees({
    clock,
    peers,
    getAlive: () => peers.slice(0, running),
  });
  const hosts = peers.map((self, at) => {
    const services = createServicePacings({
      clock,
      getRemoteStats: (service) =>
        hosts.slice(0, running).filter((_, other) => other !== at)
          .map((each) => each.services.get(service).getStats())
          .reduce((a, b) => addPacingStats(a, b), EMPTY_PACING_STATS),
      tryGetTargetMs: () => SHORTEST_TARGET_MS,
      log: () => {},
    });
    const reporter = createUpstreamStatsReporter({
      clock,
      self,
      tree: aggregation.trees[at]!,
      createOwnStats: () => pacings.getStats(),
    });
    const pacings = createUpstreamPacings({
      clock,
      services,
      directory: {
        tryGet: (id) => entries.get(id),
        getReady: () => [...entries.values()],
      },
      countHosts: () => running,
      getDigest: getNameDigest,
      getOthersStats: reporter.getOthersStats,
      log: (decision) => void decisions.push(decision),
    });
    return { services, reporter, pacings };
  });
  let sample = 0;

  const getLimit = (at: number, id: string, targetMs = TARGET_MS) =>
    hosts[at]!.pacings.getLimitTokens(SERVICE, id, targetMs);

  /** One response of each engine at the host. */
  function serve(at: number): void {
    for (const { id, speed, smoothTokens } of ENGINES) {
      const entry = entries.get(id);
      if (entry === undefined) continue;
      const recorder = hosts[at]!.pacings.getRecorder(entry);
      const tokens = 2_000 + (sample++ * 1_700) % 20_000;
      recorder.recordFirstEvent(tokens, 80 + tokens / 50 / speed);
      const lateShare = (getLimit(at, id) / smoothTokens - 1) / 2;
      recorder.recordPause((sample * GOLDEN_RATIO) % 1 < lateShare);
    }
  }

  function exchange(): void {
    for (const { pacings, reporter } of hosts.slice(0, running)) {
      pacings.update();
      for (const { to, report } of reporter.createReports()) {
        for (const address of to) {
          hosts[peers.findIndex((each) => each.peerAddress === address)]!
            .reporter.receive(report);
        }
      }
    }
  }

  return {
    hosts,
    entries,
    decisions,
    getLimit,
    setRunning: (count: number) => void (running = count),
    /** Runs seconds in which each host gets a response of each upstream. */
    run(seconds: number): void {
      for (let each = 0; each < seconds; each++) {
        for (let at = 0; at < running; at++) {
          aggregation.advance(1_000 / running);
          serve(at);
        }
        exchange();
      }
    },
    getWeights: (at: number) =>
      [...entries.values()].map((each) => hosts[at]!.pacings.getWeight(each)),
  };
}

function createEntry(id: string, incarnation: number): UpstreamEntry {
  return createUpstreamEntry({ id, service: SERVICE, incarnation });
}

test("slow upstreams get low limits, and fast ones keep theirs", () => {
  // Guards against slow upstreams that reduce the limit of all to its minimum.
  const fleet = createFleet(18);
  fleet.run(60);
  for (const id of ["slow-1", "slow-2"]) {
    ok(fleet.getLimit(0, id) < 12_000, `${fleet.getLimit(0, id)}`);
  }
  // 0.75 of the target, less 80 ms, at 85 tokens per ms.
  const inTime = (TARGET_MS * 0.75 - 80) * 50 * FAST.speed;
  const ratio = fleet.getLimit(0, "fast") / inTime;
  ok(ratio > 0.75 && ratio < 1.1, `${ratio}`);
  ok(fleet.hosts[0]!.services.getLimitTokens(SERVICE) < inTime / 2);
  const [first, second, fast] = fleet.getWeights(0);
  strictEqual(first, second);
  ok(fast! / first! > 1.4);
});

test("the limit has the ceiling of the prompt's own target", () => {
  // Guards against prompts with long targets that are limited by the shortest
  // target of their service, and against the reverse.
  const fleet = createFleet(18);
  fleet.run(40);
  const long = fleet.getLimit(0, "fast", 800);
  const short = fleet.getLimit(0, "fast", 400);
  ok(short < long * 0.5, `${short} of ${long}`);
  strictEqual(fleet.getLimit(0, "fast", 800), long);
});

test("hosts converge to one limit and one weight, also one that joins", () => {
  const fleet = createFleet(20);
  fleet.setRunning(19);
  fleet.run(40);
  fleet.setRunning(20);
  fleet.run(5);
  // Hosts adjust their limits at different moments, so that those of an
  // upstream with late responses differ by up to a step up and a step down.
  const means = new Map(ENGINES.map(({ id }) => [id, Array(20).fill(0)]));
  for (let second = 0; second < 20; second++) {
    fleet.run(1);
    for (const [id, hostMeans] of means) {
      const limits = fleet.hosts.map((_, at) => fleet.getLimit(at, id));
      limits.forEach((limit, at) => hostMeans[at] += limit / 20);
      const spread = Math.max(...limits) / Math.min(...limits);
      ok(spread < (id === "fast" ? 1.02 : 1.5), `${id}: ${spread}`);
    }
  }
  for (const [id, hostMeans] of means) {
    const spread = Math.max(...hostMeans) / Math.min(...hostMeans);
    ok(spread < 1.1, `${id}: ${spread}`);
  }
  const weights = fleet.hosts.map((_, at) => fleet.getWeights(at).join());
  strictEqual(new Set(weights).size, 1);
});

test("an upstream restarted under its id starts anew, and one that left is dropped", () => {
  const fleet = createFleet(18);
  fleet.run(40);
  fleet.entries.set("fast", createEntry("fast", 2));
  const { services, pacings } = fleet.hosts[0]!;
  strictEqual(
    fleet.getLimit(0, "fast"),
    services.getLimitTokens(SERVICE),
  );
  strictEqual(fleet.getWeights(0)[2], 1);
  fleet.entries.delete("slow-1");
  fleet.run(1);
  ok(!pacings.getStats().has(getNameDigest("slow-1/1")));
  ok(!pacings.getStats().has(getNameDigest("fast/1")));
  ok(pacings.getStats().has(getNameDigest("fast/2")));
});

test("a fleet of 16 hosts uses the service's limit and equal weights", () => {
  // Guards against small deployments that are served otherwise than before.
  const fleet = createFleet(16);
  fleet.run(30);
  const { services, pacings } = fleet.hosts[0]!;
  for (const { id } of ENGINES) {
    for (const targetMs of [100, 500, 5_000]) {
      strictEqual(
        fleet.getLimit(0, id, targetMs),
        services.getLimitTokens(SERVICE),
      );
    }
  }
  strictEqual(fleet.getWeights(0).join(), "1,1,1");
  strictEqual(pacings.getStats().size, 0);
  strictEqual(pacings.getLimits().length, 1);
  strictEqual(fleet.decisions.length, 0);
});

test("a limit is logged at most once per second, and a weight when it moves", () => {
  const fleet = createFleet(18);
  const seconds = 30;
  fleet.run(seconds);
  const limits = fleet.decisions
    .filter((each) => each.event === "reading-limit-changed");
  const perUpstream = limits.length / fleet.hosts.length / ENGINES.length;
  ok(perUpstream > 0 && perUpstream <= seconds / 2, `${perUpstream}`);
  const moved = fleet.decisions
    .filter((each) => each.event === "upstream-weight-changed");
  const perHost = moved.length / fleet.hosts.length;
  ok(perHost >= 1 && perHost <= 2 * ENGINES.length, `${perHost}`);
});
