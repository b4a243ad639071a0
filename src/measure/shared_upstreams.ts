/**
 * Simulation, in virtual time, of hosts that share upstreams, each of which
 * prefills one prompt after another. Each host runs the real prompt queue,
 * pacing and load view; teams differ in the hosts that their callers use, in
 * when they begin, in how much they ask for and in how many upstreams hold their
 * shared prefixes.
 *
 * @module
 */

import { rankByRendezvous } from "../membership/mod.ts";
import type { RankedUpstream } from "../queue/mod.ts";
import { createRandom, type Random } from "./random.ts";
import { createSimulatedIntake } from "./simulated_intake.ts";
import {
  createSimulatedHost,
  createSimulatedPeers,
  SIMULATED_SERVICE,
} from "./simulated_host.ts";
import { createVirtualScheduler } from "./virtual_scheduler.ts";

/** A kind of prompt, in tokens. */
export interface SimulatedPromptKind {
  /** Tokens to prefill at an upstream that holds the shared prefix. */
  readonly ownTokens: number;
  /** Tokens of the shared prefix; 0 by default. */
  readonly sharedTokens?: number;
  /** Work of an upstream; `ownTokens` by default. */
  readonly workTokens?: number;
  /** Share of the prompts of its team that are of this kind. */
  readonly share: number;
}

/** A team of the simulation. */
export interface SimulatedTeam {
  /** Indices of the hosts that its callers use in turn. */
  readonly hosts: readonly number[];
  /** Its demand relative to an even part of the whole; 1 by default. */
  readonly weight?: number;
  /** Tokens of each of its prompts; those of the options by default. */
  readonly promptTokens?: number;
  /** Kinds of its prompts; all alike by default. */
  readonly kinds?: readonly SimulatedPromptKind[];
  /**
   * Number of its shared prefixes, each of which one upstream holds; by default
   * each prompt goes to a random upstream.
   */
  readonly prefixes?: number;
  /** When its callers begin, in ms; 0 by default. */
  readonly fromMs?: number;
}

/** What is simulated. */
export interface SharedUpstreamsOptions {
  /** Prompt tokens of all teams, relative to what the upstreams can prefill. */
  readonly demandFactor: number;
  /** Tokens of each prompt of a team without kinds. */
  readonly promptTokens: number;
  /** Number of upstreams; 2 by default. */
  readonly upstreams?: number;
  /** Number of data centres, of about as many hosts each; 1 by default. */
  readonly dataCentres?: number;
  /** Time for which a response occupies a slot after its prefill; 0 by default. */
  readonly responseMs?: number;
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
  /**
   * Share of a core that each host has for connections and requests; by default
   * these take no processor time.
   */
  readonly coreShare?: number;
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
  /** Service of submitted prompts by second, in tokens. */
  readonly askedTokensBySecond: readonly number[];
  /** Service of started prompts by second, in tokens. */
  readonly begunTokensBySecond: readonly number[];
}

const TOKENS_PER_MS = 93;
const TARGET_MS = 800;
const LINK_MS = 8;
const REPORT_MS = 100;
const TICK_MS = 10;
const SLOTS = 48;
const DEFAULT_UNTIL_MS = 20_000;

/**
 * What a request takes of a host's processor, in ms of a core: until its headers
 * have been read, until it waits, and from its start to its end.
 */
const READ_HEADERS_MS = 0.8;
const QUEUE_MS = 1.2;
const RESPOND_MS = 2.2;

/** Upstreams in the ranking of a prompt with a shared prefix. */
const RANKED_UPSTREAMS = 8;

/** Simulates the hosts and returns the counts of each team. */
export function simulateSharedUpstreams(
  options: SharedUpstreamsOptions,
): readonly PromptCounts[] {
  const { untilMs = DEFAULT_UNTIL_MS } = options;
  const upstreams = Array.from(
    { length: options.upstreams ?? 2 },
    (_, at) => `upstream-${at}`,
  );
  const scheduler = createVirtualScheduler();
  const { clock } = scheduler;
  const random = createRandom(options.seed ?? 1);
  const readUntilMs = new Map<string, number>();
  const counts = options.teams.map(() => createCounts(untilMs));
  const peers = createSimulatedPeers(
    options.lateShares.length,
    options.dataCentres,
  );

  /** Returns the speed of an upstream, in tokens per ms. */
  function getSpeed(atMs: number): number {
    const { slowdown } = options;
    const isSlow = slowdown !== undefined && atMs >= slowdown.fromMs &&
      atMs < slowdown.untilMs;
    return isSlow ? TOKENS_PER_MS * slowdown.speedShare : TOKENS_PER_MS;
  }

  function getKinds(team: SimulatedTeam): readonly SimulatedPromptKind[] {
    const ownTokens = team.promptTokens ?? options.promptTokens;
    return team.kinds ?? [{ ownTokens, share: 1 }];
  }

  /** Ranks the upstreams for a prompt of the team, the best first. */
  function rank(
    teamAt: number,
    { ownTokens, sharedTokens = 0 }: SimulatedPromptKind,
  ): readonly RankedUpstream[] {
    const { prefixes } = options.teams[teamAt]!;
    if (prefixes === undefined) {
      const first = upstreams[Math.floor(random() * upstreams.length)]!;
      return [{ upstream: first, readingTokens: ownTokens }];
    }
    const prefix = Math.floor(random() * prefixes);
    return rankByRendezvous(`${teamAt}-${sharedTokens}-${prefix}`, upstreams)
      .slice(0, RANKED_UPSTREAMS)
      .map((upstream, at) => ({
        upstream,
        readingTokens: at === 0 ? ownTokens : ownTokens + sharedTokens,
      }));
  }

  const intake = createSimulatedIntake({
    scheduler,
    random,
    peers,
    coreShare: options.coreShare ?? Infinity,
    linkMs: LINK_MS,
  });

  const hosts = peers.map((self, hostAt) => {
    let answers = 0;
    const { view, pacing, reporter, queue } = createSimulatedHost({
      clock,
      random,
      self,
      peers,
      slots: SLOTS,
      statedCapacity: TOKENS_PER_MS * upstreams.length * 1_000 *
        (options.statedCapacityFactor ?? 1),
      targetMs: TARGET_MS,
      getProcessorUse: () => intake.getProcessorUse(hostAt),
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
      const tookMs = endMs - startedMs + LINK_MS;
      scheduler.after(tookMs, () => {
        view.endPrefill(upstream, promptTokens);
        pacing.recordFirstEvent(queuedTokens, clock.monotonicMs() - startedMs);
        pacing.recordPause(isLate);
      });
      if (options.responseMs === undefined) return;
      view.beginRequest(upstream);
      scheduler.after(
        tookMs + options.responseMs,
        () => view.endRequest(upstream),
      );
    }

    function receive(teamAt: number, kind: SimulatedPromptKind): void {
      const team = `team-${teamAt}`;
      const { workTokens = kind.ownTokens } = kind;
      const serviceTokens = getServiceTokens(kind);
      view.recordAsked(team, serviceTokens);
      view.recordWork(serviceTokens, workTokens);
      const key = { team, route: "drafts", targetMs: TARGET_MS };
      if (options.refusesEarly && queue.tryRefuseEarly(key)) return;
      intake.work(hostAt, QUEUE_MS, () => addPrompt(teamAt, kind));
    }

    function addPrompt(teamAt: number, kind: SimulatedPromptKind): void {
      const team = `team-${teamAt}`;
      const { workTokens = kind.ownTokens } = kind;
      const serviceTokens = getServiceTokens(kind);
      const ranked = rank(teamAt, kind);
      const count = counts[teamAt]!;
      queue.add({
        team,
        route: "drafts",
        targetMs: TARGET_MS,
        request: `${team}-${count.asked}`,
        service: SIMULATED_SERVICE,
        arrivedMs: clock.monotonicMs(),
        serviceTokens,
        workTokens,
        isBegun: false,
        isRepeated: false,
        isCallerConnected: () => true,
        getUpstreams: () => ranked,
        start(upstream, { readingTokens, queuedTokens }) {
          const startedSecond = Math.floor(clock.monotonicMs() / 1_000);
          count.begunBySecond[startedSecond]!++;
          count.begunTokensBySecond[startedSecond]! += serviceTokens;
          intake.work(hostAt, RESPOND_MS);
          read(upstream, queuedTokens, readingTokens);
        },
        refuse: () => {},
      });
    }

    return { reporter, queue, receive };
  });

  /** Opens a connection for one prompt of the team. */
  function submit(teamAt: number, hostAt: number): void {
    const kind = draw(getKinds(options.teams[teamAt]!), random);
    const count = counts[teamAt]!;
    const second = Math.floor(clock.monotonicMs() / 1_000);
    count.asked++;
    count.askedTokensBySecond[second]! += getServiceTokens(kind);
    intake.connect(hostAt, (servedAt) =>
      intake.work(
        servedAt,
        READ_HEADERS_MS,
        () => hosts[servedAt]!.receive(teamAt, kind),
      ));
  }

  const perMs = options.demandFactor * TOKENS_PER_MS * upstreams.length;
  options.teams.forEach((team, at) => {
    const { hosts: used, weight = 1, fromMs = 0 } = team;
    const meanTokens = getMeanTokens(getKinds(team));
    const periodMs = meanTokens * options.teams.length / perMs;
    scheduler.after(fromMs, () =>
      scheduler.every(periodMs / weight, () => {
        submit(at, used[counts[at]!.asked % used.length]!);
      }));
  });
  hosts.forEach((host, at) => {
    scheduler.after(at, () => scheduler.every(TICK_MS, host.queue.tick));
  });
  scheduler.every(TICK_MS, intake.tick);
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
  return counts.map((each) => {
    const begun = each.begunBySecond.reduce((sum, count) => sum + count, 0);
    return { ...each, begun, share: begun / each.asked };
  });
}

/** Returns counts of zero for each second. */
function createCounts(untilMs: number) {
  const createSeconds = () =>
    Array.from({ length: Math.floor(untilMs / 1_000) + 1 }, () => 0);
  return {
    asked: 0,
    begunBySecond: createSeconds(),
    askedTokensBySecond: createSeconds(),
    begunTokensBySecond: createSeconds(),
  };
}

function getServiceTokens(kind: SimulatedPromptKind): number {
  return kind.ownTokens + (kind.sharedTokens ?? 0);
}

/** Returns the mean service of a prompt, in tokens. */
function getMeanTokens(kinds: readonly SimulatedPromptKind[]): number {
  return kinds.reduce(
    (sum, each) => sum + each.share * getServiceTokens(each),
    0,
  );
}

/** Draws a kind by its share. */
function draw(
  kinds: readonly SimulatedPromptKind[],
  random: Random,
): SimulatedPromptKind {
  if (kinds.length === 1) return kinds[0]!;
  let at = random();
  return kinds.find((each) => (at -= each.share) < 0) ?? kinds.at(-1)!;
}
