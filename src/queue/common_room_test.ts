import { ok } from "node:assert";
import { test } from "node:test";
import { createLoadSums, createLoadView } from "../load/mod.ts";
import { createVirtualScheduler } from "../measure/virtual_scheduler.ts";
import { createPacing } from "../pacing/mod.ts";
import { createRandom } from "../measure/random.ts";
import { getNameDigest } from "../peers/mod.ts";
import { createPromptQueue } from "./prompt_queue.ts";

const SERVICE = "model";
const UPSTREAMS = ["upstream-0", "upstream-1"];
const TOKENS_PER_MS = 93;
const TARGET_MS = 800;
const LINK_MS = 8;
const REPORT_MS = 100;
const TICK_MS = 10;
const PLAYED_MS = 20_000;

/** A team; without a weight it asks for as many tokens as each other. */
interface PlayedTeam {
  /** Hosts that its callers use in turn. */
  readonly hosts: readonly number[];
  /** What it asks for, over an even part of the demand. */
  readonly weight?: number;
}

interface PlayOptions {
  /** Tokens that the teams ask for together, over what upstreams read. */
  readonly demand: number;
  /** Of each prompt; nothing of it is shared. */
  readonly promptTokens: number;
  readonly teams: readonly PlayedTeam[];
  /** Of each host's answers, those that pause past their target. */
  readonly lateShares: readonly number[];
  /** What operators state that upstreams do, over what they read. */
  readonly statedFactor?: number;
}

/** What a team asked for and got, in prompts. */
interface Served {
  readonly asked: number;
  readonly begun: number;
  /** The part of what it asked for that it got. */
  readonly share: number;
}

/**
 * Hosts before two upstreams that read one prompt after the other; gives what
 * each team got.
 */
function play(options: PlayOptions): readonly Served[] {
  const { promptTokens } = options;
  const agenda = createVirtualScheduler();
  const { clock } = agenda;
  const random = createRandom(1);
  const readUntilMs = new Map<string, number>();
  const asked = options.teams.map(() => 0);
  const begun = options.teams.map(() => 0);
  const peers = options.lateShares.map((_, at) => ({
    peerAddress: `host-${at}`,
    dataCentre: "one",
  }));

  const hosts = peers.map((self, hostAt) => {
    let answers = 0;
    const view = createLoadView({
      clock,
      getDigest: getNameDigest,
      isAlive: () => true,
      getStatedCapacity: () =>
        TOKENS_PER_MS * UPSTREAMS.length * 1_000 * (options.statedFactor ?? 1),
      getLearned: () => [{
        ...pacing.getStats(),
        service: getNameDigest(SERVICE),
      }],
    });
    const pacing = createPacing({
      nowMs: clock.monotonicMs,
      getRemoteStats: () => view.getOthersLearned(SERVICE),
      onChanged: () => {},
    });
    const sums = createLoadSums({
      clock,
      self,
      getHosts: () => peers,
      getDigest: getNameDigest,
      createOwn: view.createUse,
      onOthers: view.receive,
    });
    const queue = createPromptQueue({
      nowMs: clock.monotonicMs,
      getLoad: (upstream) => ({
        slots: 48,
        inFlight: view.getInFlight(upstream),
        readingTokens: view.getReadingTokens(upstream),
        underservedElsewhere: view.getUnderservedElsewhere(upstream),
      }),
      getShareUsed: view.getShareUsed,
      isAhead: view.isAhead,
      isUnderserved: view.isUnderserved,
      onUnderservedWaiting: view.setUnderserved,
      getMeanYield: view.getMeanYield,
      getLimitTokens: () => pacing.getLimitTokens(TARGET_MS),
      random,
      onStart(prompt, upstream, readingTokens) {
        view.beginReading(upstream, readingTokens);
        view.noteBegun(prompt.team, prompt.size);
      },
    });

    function read(upstream: string, queuedTokens: number): void {
      const startedMs = clock.monotonicMs();
      const beginMs = Math.max(startedMs, readUntilMs.get(upstream) ?? 0);
      const endMs = beginMs + promptTokens / TOKENS_PER_MS;
      readUntilMs.set(upstream, endMs);
      answers++;
      const isLate = answers % 100 < options.lateShares[hostAt]! * 100;
      agenda.after(endMs - startedMs + LINK_MS, () => {
        view.endReading(upstream, promptTokens);
        pacing.recordFirstEvent(queuedTokens, clock.monotonicMs() - startedMs);
        pacing.recordPause(isLate);
      });
    }

    function ask(teamAt: number): void {
      const first = Math.floor(random() * UPSTREAMS.length);
      const team = `team-${teamAt}`;
      asked[teamAt]!++;
      view.noteAsked(team, promptTokens);
      view.noteWork(promptTokens, promptTokens);
      queue.add({
        request: `${team}-${asked[teamAt]}`,
        team,
        service: SERVICE,
        route: "drafts",
        arrivedMs: clock.monotonicMs(),
        targetMs: TARGET_MS,
        size: promptTokens,
        workTokens: promptTokens,
        isWanted: () => true,
        getChoices: () => [{
          upstream: UPSTREAMS[first]!,
          readingTokens: promptTokens,
        }],
        start(upstream, { queuedTokens }) {
          begun[teamAt]!++;
          read(upstream, queuedTokens);
        },
        refuse: () => {},
      });
    }

    return { sums, queue, ask };
  });

  const perMs = options.demand * TOKENS_PER_MS * UPSTREAMS.length;
  const periodMs = promptTokens * options.teams.length / perMs;
  options.teams.forEach(({ hosts: used, weight = 1 }, at) => {
    agenda.every(periodMs / weight, () => {
      hosts[used[asked[at]! % used.length]!]!.ask(at);
    });
  });
  hosts.forEach((host, at) => {
    agenda.after(at, () => agenda.every(TICK_MS, host.queue.tick));
  });
  agenda.every(REPORT_MS, () => {
    for (const { sums } of hosts) {
      for (const { to, report } of sums.createReports()) {
        const receivers = hosts
          .filter((_, at) => to.includes(peers[at]!.peerAddress));
        agenda.after(LINK_MS, () => {
          for (const each of receivers) each.sums.receive(report);
        });
      }
    }
  });
  agenda.runUntil(PLAYED_MS);
  return options.teams.map((_, at) => ({
    asked: asked[at]!,
    begun: begun[at]!,
    share: begun[at]! / asked[at]!,
  }));
}

function getShares(teams: readonly Served[]): readonly number[] {
  return teams.map((each) => each.share);
}

function getRatio(shares: readonly number[]): number {
  return Math.min(...shares) / Math.max(...shares);
}

test("a team whose one host sees its answers pause gets what the others get", () => {
  // Hosts that learn the limit of reading alone differ by far; the room at an
  // upstream is common, and the widest takes all of it.
  for (const demand of [1.2, 2]) {
    const shares = getShares(play({
      demand,
      promptTokens: 2_800,
      teams: [{ hosts: [0] }, { hosts: [1] }],
      lateShares: [0.2, 0],
    }));
    ok(getRatio(shares) >= 0.8, `${shares} at ${demand}`);
  }
});

test("a team at one host gets more than half of what one at six hosts gets", () => {
  // Where hardly more than one prompt may be read at once, hosts race for each
  // upstream that has read all; six win six times of seven, whoever their team is.
  for (const promptTokens of [2_800, 8_000, 17_000]) {
    for (const demand of [2, 4]) {
      const shares = getShares(play({
        demand,
        promptTokens,
        teams: [{ hosts: [0] }, { hosts: [1, 2, 3, 4, 5, 6] }],
        lateShares: Array.from({ length: 7 }, () => 0.3),
      }));
      const what = `${shares} of ${promptTokens} tokens at ${demand}`;
      ok(getRatio(shares) > 0.5, what);
    }
  }
});

test("a calm team gets half of what it asks for beside a flood, whatever is stated", () => {
  // Guards against shares of a capacity that upstreams do not have: nobody is over
  // such a share, so the team with the most hosts takes what there is.
  for (const promptTokens of [2_800, 8_000, 17_000]) {
    for (const statedFactor of [1, 3, 10]) {
      const [calm, flood] = play({
        demand: 3,
        promptTokens,
        teams: [
          { hosts: [0, 1], weight: 0.3 },
          { hosts: [0, 1, 2, 3, 4, 5, 6], weight: 1.7 },
        ],
        lateShares: Array.from({ length: 7 }, () => 0.3),
        statedFactor,
      });
      const due = Math.min(calm!.asked, flood!.begun) / 2;
      const what = `${calm!.begun} of ${due} due, ${
        flood!.begun
      } for the flood`;
      ok(calm!.begun >= due, `${what}; ${promptTokens}, ${statedFactor}`);
    }
  }
});
