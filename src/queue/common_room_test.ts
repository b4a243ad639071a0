import { ok } from "node:assert";
import { test } from "node:test";
import { createLoadSums, createLoadView } from "../load/mod.ts";
import { createAgenda } from "../measure/agenda.ts";
import { createPacing } from "../pacing/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import { createPromptQueue } from "./prompt_queue.ts";

const SERVICE = "model";
const UPSTREAMS = ["upstream-0", "upstream-1"];
const TOKENS_PER_MS = 93;
const PROMPT_TOKENS = 2_800;
const TARGET_MS = 800;
const LINK_MS = 8;
const REPORT_MS = 100;
const TICK_MS = 10;
const PLAYED_MS = 20_000;

/** Share of a host's answers that pause past their target. */
type LateShare = number;

interface PlayOptions {
  /** Tokens that the teams ask for together, over what upstreams read. */
  readonly demand: number;
  /** Of each host; one team's callers use it alone. */
  readonly lateShares: readonly LateShare[];
}

/**
 * Hosts before two upstreams that read one prompt after the other; gives the part
 * of its tokens that each host's team got.
 */
function play(options: PlayOptions): readonly number[] {
  const agenda = createAgenda();
  const { clock } = agenda;
  const readUntilMs = new Map<string, number>();
  const peers = options.lateShares.map((_, at) => ({
    peerAddress: `host-${at}`,
    dataCentre: "one",
  }));

  const hosts = peers.map((self, hostAt) => {
    let asked = 0;
    let begun = 0;
    const view = createLoadView({
      clock,
      getDigest: getNameDigest,
      isAlive: () => true,
      getStatedCapacity: () => TOKENS_PER_MS * UPSTREAMS.length * 1_000,
      getLearned: () => [{
        ...pacing.getEvidence(),
        service: getNameDigest(SERVICE),
      }],
    });
    const pacing = createPacing({
      nowMs: clock.monotonicMs,
      getOthers: () => view.getOthersLearned(SERVICE),
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
      }),
      getShareUsed: view.getShareUsed,
      getMeanYield: view.getMeanYield,
      getLimitTokens: () => pacing.getLimitTokens(TARGET_MS),
      random: () => 0.5,
      onStart(prompt, upstream, readingTokens) {
        view.beginReading(upstream, readingTokens);
        view.noteBegun(prompt.team, prompt.size);
      },
    });

    function read(upstream: string, queuedTokens: number): void {
      const startedMs = clock.monotonicMs();
      const beginMs = Math.max(startedMs, readUntilMs.get(upstream) ?? 0);
      const endMs = beginMs + PROMPT_TOKENS / TOKENS_PER_MS;
      readUntilMs.set(upstream, endMs);
      begun++;
      const isLate = begun % 100 < options.lateShares[hostAt]! * 100;
      agenda.after(endMs - startedMs + LINK_MS, () => {
        view.endReading(upstream, PROMPT_TOKENS);
        pacing.noteFirstEvent(queuedTokens, clock.monotonicMs() - startedMs);
        pacing.notePause(isLate);
      });
    }

    function ask(): void {
      const first = asked++ % UPSTREAMS.length;
      const team = `team-${hostAt}`;
      view.noteAsked(team, PROMPT_TOKENS);
      view.noteWork(PROMPT_TOKENS, PROMPT_TOKENS);
      queue.add({
        request: `${team}-${asked}`,
        team,
        service: SERVICE,
        arrivedMs: clock.monotonicMs(),
        targetMs: TARGET_MS,
        size: PROMPT_TOKENS,
        workTokens: PROMPT_TOKENS,
        getChoices: () => [{
          upstream: UPSTREAMS[first]!,
          readingTokens: PROMPT_TOKENS,
        }],
        start: (upstream, { queuedTokens }) => read(upstream, queuedTokens),
        refuse: () => {},
      });
    }

    return { sums, queue, ask, getServedShare: () => begun / asked };
  });

  const perMs = options.demand * TOKENS_PER_MS * UPSTREAMS.length;
  agenda.every(PROMPT_TOKENS * hosts.length / perMs, () => {
    for (const host of hosts) host.ask();
  });
  agenda.every(TICK_MS, () => hosts.forEach((host) => host.queue.tick()));
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
  return hosts.map((host) => host.getServedShare());
}

test("a team whose one host sees its answers pause gets what the others get", () => {
  // Hosts that learn the limit of reading alone differ by far; the room at an
  // upstream is common, and the widest takes all of it.
  for (const demand of [1.2, 2]) {
    const shares = play({ demand, lateShares: [0.2, 0] });
    const ratio = Math.min(...shares) / Math.max(...shares);
    ok(ratio >= 0.8, `${shares} at ${demand}`);
  }
});
