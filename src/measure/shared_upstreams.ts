/**
 * Simulation, in virtual time, of hosts that share two upstreams, each of which
 * prefills one prompt after another. Each host runs the real prompt queue,
 * pacing and load view; teams differ in the hosts that their callers use, in
 * when they begin and in how much they ask for.
 *
 * @module
 */

import { createRandom } from "./random.ts";
import {
  createSimulatedHost,
  createSimulatedPeers,
  SIMULATED_SERVICE,
} from "./simulated_host.ts";
import { createVirtualScheduler } from "./virtual_scheduler.ts";

/** A team of the simulation. */
export interface SimulatedTeam {
  /** Indices of the hosts that its callers use in turn. */
  readonly hosts: readonly number[];
  /** Its demand relative to an even part of the whole; 1 by default. */
  readonly weight?: number;
  /** Tokens of each of its prompts; those of the options by default. */
  readonly promptTokens?: number;
  /** When its callers begin, in ms; 0 by default. */
  readonly fromMs?: number;
}

/** What is simulated. */
export interface SharedUpstreamsOptions {
  /** Prompt tokens of all teams, relative to what the upstreams can prefill. */
  readonly demandFactor: number;
  /** Tokens of each prompt, which has no shared prefix. */
  readonly promptTokens: number;
  readonly teams: readonly SimulatedTeam[];
  /** By host: share of its answers that pause for longer than their target. */
  readonly lateShares: readonly number[];
  /** Capacity stated by operators, relative to the real one; 1 by default. */
  readonly statedCapacityFactor?: number;
  /** A time in which upstreams prefill at a part of their speed. */
  readonly slowdown?: {
    readonly fromMs: number;
    readonly untilMs: number;
    readonly speedShare: number;
  };
  /** Whether hosts refuse prompts by their backlogs; false by default. */
  readonly refusesEarly?: boolean;
  /** 1 by default. */
  readonly seed?: number;
  /** Simulated time in ms; 20,000 by default. */
  readonly untilMs?: number;
}

/** Prompts of one team that were submitted and started. */
export interface PromptCounts {
  readonly asked: number;
  readonly begun: number;
  /** Started prompts as a share of those submitted. */
  readonly share: number;
  /** Started prompts by second; the last may be cut short. */
  readonly begunBySecond: readonly number[];
}

const UPSTREAMS = ["upstream-0", "upstream-1"];
const TOKENS_PER_MS = 93;
const TARGET_MS = 800;
const LINK_MS = 8;
const REPORT_MS = 100;
const TICK_MS = 10;
const SLOTS = 48;
const DEFAULT_UNTIL_MS = 20_000;

/** Simulates the hosts and returns the counts of each team. */
export function simulateSharedUpstreams(
  options: SharedUpstreamsOptions,
): readonly PromptCounts[] {
  const { untilMs = DEFAULT_UNTIL_MS } = options;
  const getPromptTokens = (team: SimulatedTeam) =>
    team.promptTokens ?? options.promptTokens;
  const scheduler = createVirtualScheduler();
  const { clock } = scheduler;
  const random = createRandom(options.seed ?? 1);
  const readUntilMs = new Map<string, number>();
  const asked = options.teams.map(() => 0);
  const begun = options.teams.map(() => 0);
  const begunBySecond = options.teams.map(() =>
    Array.from({ length: Math.floor(untilMs / 1_000) + 1 }, () => 0)
  );
  const peers = createSimulatedPeers(options.lateShares.length);

  /** Returns the speed of an upstream, in tokens per ms. */
  function getSpeed(atMs: number): number {
    const { slowdown } = options;
    const isSlow = slowdown !== undefined && atMs >= slowdown.fromMs &&
      atMs < slowdown.untilMs;
    return isSlow ? TOKENS_PER_MS * slowdown.speedShare : TOKENS_PER_MS;
  }

  const hosts = peers.map((self, hostAt) => {
    let answers = 0;
    const { view, pacing, reporter, queue } = createSimulatedHost({
      clock,
      random,
      self,
      peers,
      slots: SLOTS,
      statedCapacity: TOKENS_PER_MS * UPSTREAMS.length * 1_000 *
        (options.statedCapacityFactor ?? 1),
      targetMs: TARGET_MS,
    });

    function read(
      upstream: string,
      queuedTokens: number,
      promptTokens: number,
    ): void {
      const startedMs = clock.monotonicMs();
      const beginMs = Math.max(startedMs, readUntilMs.get(upstream) ?? 0);
      const endMs = beginMs + promptTokens / getSpeed(beginMs);
      readUntilMs.set(upstream, endMs);
      answers++;
      const isLate = answers % 100 < options.lateShares[hostAt]! * 100;
      scheduler.after(endMs - startedMs + LINK_MS, () => {
        view.endPrefill(upstream, promptTokens);
        pacing.recordFirstEvent(queuedTokens, clock.monotonicMs() - startedMs);
        pacing.recordPause(isLate);
      });
    }

    function submit(teamAt: number): void {
      const first = Math.floor(random() * UPSTREAMS.length);
      const team = `team-${teamAt}`;
      const promptTokens = getPromptTokens(options.teams[teamAt]!);
      asked[teamAt]!++;
      view.recordAsked(team, promptTokens);
      view.recordWork(promptTokens, promptTokens);
      const key = { team, route: "drafts", targetMs: TARGET_MS };
      if (options.refusesEarly && queue.tryRefuseEarly(key)) return;
      queue.add({
        ...key,
        request: `${team}-${asked[teamAt]}`,
        service: SIMULATED_SERVICE,
        arrivedMs: clock.monotonicMs(),
        serviceTokens: promptTokens,
        workTokens: promptTokens,
        isBegun: false,
        isRepeated: false,
        isCallerConnected: () => true,
        getUpstreams: () => [{
          upstream: UPSTREAMS[first]!,
          readingTokens: promptTokens,
        }],
        start(upstream, { queuedTokens }) {
          begun[teamAt]!++;
          const second = Math.floor(clock.monotonicMs() / 1_000);
          begunBySecond[teamAt]![second]!++;
          read(upstream, queuedTokens, promptTokens);
        },
        refuse: () => {},
      });
    }

    return { reporter, queue, submit };
  });

  const perMs = options.demandFactor * TOKENS_PER_MS * UPSTREAMS.length;
  options.teams.forEach((team, at) => {
    const { hosts: used, weight = 1, fromMs = 0 } = team;
    const periodMs = getPromptTokens(team) * options.teams.length / perMs;
    scheduler.after(fromMs, () =>
      scheduler.every(periodMs / weight, () => {
        hosts[used[asked[at]! % used.length]!]!.submit(at);
      }));
  });
  hosts.forEach((host, at) => {
    scheduler.after(at, () => scheduler.every(TICK_MS, host.queue.tick));
  });
  scheduler.every(REPORT_MS, () => {
    for (const { reporter } of hosts) {
      for (const { to, report } of reporter.createReports()) {
        const receivers = hosts
          .filter((_, at) => to.includes(peers[at]!.peerAddress));
        scheduler.after(LINK_MS, () => {
          for (const each of receivers) each.reporter.receive(report);
        });
      }
    }
  });
  scheduler.runUntil(untilMs);
  return options.teams.map((_, at) => ({
    asked: asked[at]!,
    begun: begun[at]!,
    share: begun[at]! / asked[at]!,
    begunBySecond: begunBySecond[at]!,
  }));
}
