import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { getOrCreate } from "../core/mod.ts";
import type { WaitingLoad } from "../load/mod.ts";
import type { QueueInputs } from "../diagnostics/mod.ts";
import { rankForPrompt } from "../placement/mod.ts";
import { createUnneededGrants } from "../testing/fake_grants.ts";
import { createPromptQueue } from "./prompt_queue.ts";
import { defaultPromptQueueOptions } from "./prompt_queue_options.ts";
import { hasRoom } from "./room.ts";
import type { ProcessorUse } from "../types.ts";
import type { PromptQueueHost, WaitingPrompt } from "./types.ts";

const { overShareLimit, inefficientLimit } = defaultPromptQueueOptions;

/** Tokens that an upstream may be prefilling. */
const LIMIT_TOKENS = 15_000;

interface PromptOptions {
  readonly team?: string;
  readonly readingTokens?: number;
  /** Tokens to prefill when the shared prefix is not cached. */
  readonly sharedTokens?: number;
  readonly workTokens?: number;
  /** Service tokens per token of upstream work; the mean is 60. */
  readonly efficiency?: number;
  readonly ranked?: readonly string[];
  readonly isBegun?: boolean;
  /** Cost of a fetch of the shared prefix; it is not fetched if left out. */
  readonly fetchTokens?: number;
  /** Upstreams that hold the shared prefix; the first if left out. */
  readonly holders?: readonly string[];
  readonly targetMs?: number;
}

/** Creates a queue for idle upstreams with 48 slots each. */
function createFixture(changes: Pick<PromptQueueHost, "grants"> = {}) {
  let nowMs = 0;
  let prompts = 0;
  let loadReads = 0;
  const loads = new Map<string, { inFlight: number; readingTokens: number }>();
  const overShare = new Set<string>();
  const overserved = new Set<string>();
  const underservedTeams = new Set<string>();
  const serviceLevels = new Map<string, number>();
  /** Prompts of underserved teams at other hosts, by upstream. */
  const underserved = new Map<string, number>();
  /** Tokens that they have to prefill, by upstream. */
  const underservedTokens = new Map<string, number>();
  /** Tokens that yielding prompts wait to prefill at other hosts. */
  const yieldingElsewhere = new Map<string, number>();
  let waitingHere: ReadonlyMap<string, WaitingLoad> = new Map();
  const underservedReports: Readonly<Record<string, number>>[] = [];
  const log: string[] = [];
  /** Cold upstreams that get no prompt of this host at the moment. */
  const spentWarmUps = new Set<string>();
  /** Requests whose callers have disconnected. */
  const disconnected = new Set<string>();
  /** Limits other than `LIMIT_TOKENS`, by upstream and target in ms. */
  const limits = new Map<string, number>();
  const randoms: number[] = [];
  let processorUse = { utilization: 0, isShort: false };
  const retryAfterMs: number[] = [];
  const refusals: QueueInputs[] = [];
  const getUse = (upstream: string) =>
    getOrCreate(loads, upstream, () => ({ inFlight: 0, readingTokens: 0 }));
  const queue = createPromptQueue({
    ...changes,
    nowMs: () => nowMs,
    getLoad(upstream) {
      loadReads++;
      const underservedElsewhere = underserved.get(upstream) ?? 0;
      return {
        slots: 48,
        ...getUse(upstream),
        underservedElsewhere,
        underservedTokens: (underservedTokens.get(upstream) ?? 0) +
          (waitingHere.get(upstream)?.underservedTokens ?? 0),
        yieldingElsewhere: yieldingElsewhere.get(upstream) ?? 0,
        isWarmUpSpent: spentWarmUps.has(upstream),
      };
    },
    isOverserved: (team) => overserved.has(team),
    isUnderserved: (team) => underservedTeams.has(team),
    onWaiting(loads) {
      waitingHere = loads;
      const prompts = [...loads]
        .filter(([, load]) => load.underserved > 0)
        .map(([each, load]) => [each, load.underserved]);
      underservedReports.push(Object.fromEntries(prompts));
    },
    getShareUsed: (team) => overShare.has(team) ? 2 : 0.5,
    getServiceRates: () => ({ asked: 0, begun: 0, mostBegun: 0 }),
    getCoverage: () => ({ hosts: 1, ageMs: 0 }),
    getServiceLevel: (team) => serviceLevels.get(team) ?? 0,
    getProcessorUse: () => processorUse,
    getMeanEfficiency: () => 60,
    getLimitTokens: (_service, upstream, targetMs) =>
      limits.get(`${upstream}/${targetMs}`) ?? LIMIT_TOKENS,
    random: () => randoms.shift() ?? 0.5,
    onStart(_prompt, upstream, readingTokens) {
      getUse(upstream).readingTokens += readingTokens;
      getUse(upstream).inFlight++;
    },
  });

  function add(options: PromptOptions = {}): WaitingPrompt {
    const { team = "calm", readingTokens = 6_000, ranked = ["a", "b"] } =
      options;
    const {
      sharedTokens = 18_000,
      workTokens = 200,
      efficiency = 60,
      fetchTokens,
    } = options;
    const request = `${team}-${++prompts}`;
    const prompt: WaitingPrompt = {
      request,
      team,
      service: "model",
      route: "drafts",
      arrivedMs: nowMs,
      targetMs: options.targetMs ?? 800,
      serviceTokens: workTokens * efficiency,
      workTokens,
      isBegun: options.isBegun ?? false,
      isRepeated: false,
      isCallerConnected: () => !disconnected.has(request),
      // Only the first has cached the shared prefix, of 13,300 tokens.
      getUpstreams: () =>
        fetchTokens !== undefined
          ? rankForPrompt({
            ranked,
            unsharedTokens: readingTokens,
            totalTokens: readingTokens + sharedTokens,
            isNear: () => true,
            isColdAndDue: () => false,
            prefix: {
              holders: (options.holders ?? ranked.slice(0, 1))
                .map((upstream) => ({ upstream, ageMs: 1_000 })),
              fetchTokens,
              mayBeSource: () => true,
            },
          })
          : ranked.map((upstream, at) => ({
            upstream,
            readingTokens: at === 0
              ? readingTokens
              : readingTokens + sharedTokens,
          })),
      start: (upstream) => log.push(`${request} to ${upstream}`),
      refuse(refusal) {
        log.push(`${request} ${refusal.reason}`);
        retryAfterMs.push(refusal.retryAfterMs);
        refusals.push(refusal.inputs);
      },
    };
    queue.add(prompt);
    queue.tick();
    return prompt;
  }

  return {
    queue,
    log,
    add,
    disconnected,
    overShare,
    overserved,
    underservedTeams,
    serviceLevels,
    underserved,
    underservedTokens,
    yieldingElsewhere,
    underservedReports,
    limits,
    randoms,
    retryAfterMs,
    refusals,
    getUse,
    getLoadReads: () => loadReads,
    resetLoadReads: () => loadReads = 0,
    setProcessorUse: (use: ProcessorUse) => void (processorUse = use),
    advance(ms: number) {
      nowMs += ms;
      queue.tick();
    },
  };
}

test("a late prompt is refused even if an upstream has room for it", () => {
  // Guards against starting prompts that can no longer be on time, after a long
  // event-loop iteration.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.add({ ranked: ["a"] });
  fixture.getUse("a").inFlight = 0;
  fixture.advance(600);
  deepStrictEqual(fixture.log, ["calm-1 late"]);
});

test("each upstream has its own limit, by the target of the prompt", () => {
  // Guards against prompts that wait for a fast upstream because of the limit of
  // slow ones, and against prompts held to the target of others.
  const fixture = createFixture();
  fixture.limits.set("fast/800", 30_000);
  for (const upstream of ["slow", "fast"]) {
    fixture.getUse(upstream).readingTokens = 12_000;
  }
  fixture.add({ ranked: ["slow"] });
  fixture.add({ ranked: ["fast"], targetMs: 500 });
  fixture.add({ ranked: ["fast"] });
  deepStrictEqual(fixture.log, ["calm-3 to fast"]);
  fixture.limits.set("slow/800", 20_000);
  fixture.advance(10);
  deepStrictEqual(fixture.log, ["calm-3 to fast", "calm-1 to slow"]);
});

test("an overserved team goes last but may use room that no other team needs", () => {
  // Guards against an overserved team that starts before the others, and
  // against upstreams that stay idle while it waits.
  const fixture = createFixture();
  fixture.overserved.add("flood");
  fixture.getUse("a").readingTokens = LIMIT_TOKENS;
  fixture.add({ ranked: ["a"] });
  fixture.add({ team: "flood", ranked: ["a"] });
  fixture.getUse("a").readingTokens = 0;
  fixture.advance(100);
  deepStrictEqual(fixture.log, ["calm-1 to a", "flood-2 to a"]);
});

test("of two overserved teams the one that had less goes first", () => {
  // Guards against a team that gets more because it sends more prompts to a host.
  const fixture = createFixture();
  fixture.overserved.add("more").add("less");
  fixture.serviceLevels.set("more", 200_000).set("less", 150_000);
  fixture.getUse("a").readingTokens = LIMIT_TOKENS;
  fixture.add({ team: "less", ranked: ["a"] });
  fixture.advance(10);
  fixture.add({ team: "more", ranked: ["a"] });
  fixture.getUse("a").readingTokens = 0;
  fixture.advance(100);
  deepStrictEqual(fixture.log.slice(0, 1), ["less-1 to a"]);
});

test("an overserved team fills no upstream for which an underserved team waits", () => {
  // Guards against teams that get less because their callers use fewer hosts.
  const fixture = createFixture();
  fixture.overserved.add("flood");
  fixture.underserved.set("a", 1);
  fixture.add({ team: "flood", ranked: ["a"], readingTokens: 9_000 });
  deepStrictEqual(fixture.log, []);
  fixture.underserved.clear();
  fixture.queue.tick();
  deepStrictEqual(fixture.log, ["flood-1 to a"]);
});

test("an overserved team's small prompts leave room for a large one that waits elsewhere", () => {
  // Guards against small prompts that take the room of a large one, one after the other.
  const fixture = createFixture();
  fixture.overserved.add("flood");
  fixture.getUse("a").readingTokens = 6_000;
  fixture.underserved.set("a", 1);
  fixture.underservedTokens.set("a", 9_000);
  fixture.add({ team: "flood", ranked: ["a"], readingTokens: 1_000 });
  deepStrictEqual(fixture.log, []);
  fixture.getUse("a").readingTokens = 1_000;
  fixture.queue.tick();
  deepStrictEqual(fixture.log, ["flood-1 to a"]);
});

test("an overserved team's small prompts leave room for a large one that waits here", () => {
  // Guards against an order of prompts that small ones pass by, as a large one finds no room.
  const fixture = createFixture();
  fixture.overserved.add("flood");
  fixture.underservedTeams.add("poor");
  fixture.getUse("a").readingTokens = 24_000;
  fixture.add({ team: "poor", ranked: ["a"], readingTokens: 9_000 });
  fixture.getUse("a").readingTokens = 12_000;
  fixture.getUse("a").inFlight = 48;
  fixture.add({ team: "flood", ranked: ["a"], readingTokens: 1_000 });
  fixture.getUse("a").inFlight = 22;
  fixture.queue.tick();
  deepStrictEqual(fixture.log, ["poor-1 to a"]);
});

test("a host uses room that yielding prompts wait for at all hosts as often as its share is", () => {
  // Guards against hosts that all fill the same free room before they learn of each other.
  const fixture = createFixture();
  fixture.overserved.add("flood");
  fixture.yieldingElsewhere.set("a", 90_000 - 9_000);
  fixture.randoms.push(0.4);
  fixture.add({ team: "flood", ranked: ["a"], readingTokens: 9_000 });
  fixture.advance(90);
  deepStrictEqual(fixture.log, []);
  fixture.randoms.push(0.3);
  fixture.advance(10);
  deepStrictEqual(fixture.log, ["flood-1 to a"]);
});

test("room at an upstream for which no other host's prompts wait is used at once", () => {
  // Guards against upstreams that idle while the one host with work waits for its turn.
  const fixture = createFixture();
  fixture.overserved.add("flood");
  fixture.randoms.push(0.99, 0.99);
  fixture.add({ team: "flood", ranked: ["a"], readingTokens: 9_000 });
  deepStrictEqual(fixture.log, ["flood-1 to a"]);
});

test("an underserved team may exceed the prefill limit, but not twice the limit", () => {
  // Guards against few prompts that find no room among those of many hosts.
  const fixture = createFixture();
  fixture.underservedTeams.add("poor");
  fixture.getUse("a").readingTokens = LIMIT_TOKENS;
  fixture.add({ ranked: ["a"], readingTokens: 6_000 });
  fixture.add({ team: "poor", ranked: ["a"], readingTokens: 6_000 });
  deepStrictEqual(fixture.log, ["poor-2 to a"]);
  fixture.getUse("a").readingTokens = 2 * LIMIT_TOKENS;
  fixture.add({ team: "poor", ranked: ["a"], readingTokens: 6_000 });
  deepStrictEqual(fixture.log, ["poor-2 to a"]);
});

test("an underserved team may use slots that the others leave free, but not all", () => {
  // Guards against few prompts that find no slot among the answers of many hosts.
  const fixture = createFixture();
  fixture.underservedTeams.add("poor");
  fixture.getUse("a").inFlight = 40;
  fixture.add({ ranked: ["a"] });
  fixture.add({ team: "poor", ranked: ["a"] });
  deepStrictEqual(fixture.log, ["poor-2 to a"]);
  fixture.getUse("a").inFlight = 44;
  fixture.add({ team: "poor", ranked: ["a"] });
  deepStrictEqual(fixture.log, ["poor-2 to a"]);
});

test("an overserved team takes no idle upstream for which an underserved team waits", () => {
  // Guards against a flood that prefills its prefixes again at every upstream
  // that becomes idle.
  const fixture = createFixture({ grants: createUnneededGrants(true) });
  fixture.overserved.add("flood");
  fixture.getUse("a").inFlight = 48;
  fixture.underserved.set("b", 1);
  const spilled = { readingTokens: 9_000, ranked: ["a", "b"] };
  fixture.add({ team: "flood", ...spilled });
  fixture.advance(450);
  deepStrictEqual(fixture.log, []);
  fixture.underserved.clear();
  fixture.queue.tick();
  deepStrictEqual(fixture.log, ["flood-1 to b"]);
});

test("no prompt is started for a caller that has disconnected", () => {
  // Guards against upstreams that work for disconnected callers.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.add({ ranked: ["a"] });
  fixture.add({ ranked: ["a"] });
  fixture.getUse("a").inFlight = 0;
  fixture.disconnected.add("calm-2");
  fixture.advance(100);
  deepStrictEqual(fixture.log, ["calm-1 to a"]);
});

test("no prompt is sent to an upstream whose share of slots is in use", () => {
  // With bursts on nine hosts and all 48 slots in use, a request waits inside
  // the upstream for 0.9 s (median), where it can't be refused in time.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 29;
  fixture.add({ ranked: ["a"] });
  deepStrictEqual(fixture.log, []);
  fixture.getUse("a").inFlight = 28;
  fixture.queue.tick();
  deepStrictEqual(fixture.log, ["calm-1 to a"]);
});

test("a prompt waits for the upstream with its shared prefix at first", () => {
  const fixture = createFixture();
  fixture.getUse("a").readingTokens = LIMIT_TOKENS;
  fixture.add();
  fixture.advance(430);
  deepStrictEqual(fixture.log, []);
  fixture.advance(20);
  deepStrictEqual(fixture.log, ["calm-1 to b"]);
});

test("a prompt leaves the upstream with its shared prefix only for an idle one", () => {
  // Guards against sending prompts that cannot start at once to any upstream
  // with room. Their shared prefix is prefilled again there, which makes the
  // other answers of that upstream pause.
  const fixture = createFixture();
  fixture.getUse("a").readingTokens = LIMIT_TOKENS;
  fixture.getUse("b").inFlight = 1;
  fixture.add();
  fixture.advance(450);
  deepStrictEqual(fixture.log, []);
  fixture.getUse("b").inFlight = 0;
  fixture.advance(10);
  deepStrictEqual(fixture.log, ["calm-1 to b"]);
});

test("a prompt with a short shared prefix goes to the less busy upstream", () => {
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 20;
  fixture.add({ readingTokens: 1_200, sharedTokens: 400 });
  deepStrictEqual(fixture.log, ["calm-1 to b"]);
});

test("a prompt with a short shared prefix tries upstreams in groups of two", () => {
  // If prompts went to the least busy of all upstreams, every upstream would
  // cache a copy of every short prefix. These evict long prefixes, which are
  // then prefilled again.
  const fixture = createFixture();
  const chat = { readingTokens: 1_200, sharedTokens: 400 };
  const ranked = ["a", "b", "c", "d"];
  fixture.getUse("a").inFlight = 10;
  fixture.getUse("b").inFlight = 12;
  fixture.add({ ...chat, ranked });
  fixture.getUse("a").inFlight = 40;
  fixture.add({ ...chat, ranked });
  fixture.getUse("b").inFlight = 40;
  fixture.add({ ...chat, ranked });
  deepStrictEqual(
    fixture.log,
    ["calm-1 to a", "calm-2 to b", "calm-3 to c"],
  );
});

test("a prompt that can't be on time is refused before its target has passed", () => {
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.add({ ranked: ["a"] });
  fixture.advance(479);
  deepStrictEqual(fixture.log, []);
  fixture.advance(1);
  deepStrictEqual(fixture.log, ["calm-1 late"]);
});

test("the newest waiting prompt starts first", () => {
  // Under overload, serving in the order of arrival would start each prompt
  // when half of its target time has passed, and all would be late.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.add({ ranked: ["a"], readingTokens: 15_000 });
  fixture.advance(300);
  fixture.add({ ranked: ["a"], readingTokens: 15_000 });
  fixture.getUse("a").inFlight = 0;
  fixture.queue.tick();
  deepStrictEqual(fixture.log, ["calm-2 to a"]);
  fixture.advance(180);
  deepStrictEqual(fixture.log, ["calm-2 to a", "calm-1 late"]);
});

test("a stream that has begun goes before newer prompts that yield alike", () => {
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.add({ ranked: ["a"], readingTokens: 15_000, isBegun: true });
  fixture.advance(300);
  fixture.add({ ranked: ["a"], readingTokens: 15_000 });
  fixture.getUse("a").inFlight = 0;
  fixture.queue.tick();
  deepStrictEqual(fixture.log, ["calm-1 to a"]);
});

test("a stream that has begun doesn't go before teams that are not over their share", () => {
  const fixture = createFixture();
  fixture.overShare.add("greedy");
  fixture.getUse("a").inFlight = 48;
  fixture.add({ ranked: ["a"], team: "greedy", isBegun: true });
  fixture.add({ ranked: ["a"], readingTokens: 15_000 });
  fixture.getUse("a").inFlight = 0;
  fixture.queue.tick();
  deepStrictEqual(fixture.log, ["calm-2 to a"]);
});

test("callers that are refused together get different retry times", () => {
  // Guards against callers that are refused in the same pass and return
  // together: a hundred of them came back within 20 ms, a second later, found
  // the upstreams full and were refused for good.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  for (let at = 0; at < 5; at++) fixture.add({ ranked: ["a"] });
  fixture.randoms.push(0, 0.25, 0.5, 0.75, 1);
  fixture.advance(480);
  deepStrictEqual(fixture.retryAfterMs, [750, 875, 1_000, 1_125, 1_250]);
});

test("a refusal contains the inputs of its decision", () => {
  // The log line of a request that got a 503 must show whether its team was
  // over its share or the upstreams were full.
  const fixture = createFixture();
  fixture.overShare.add("flood");
  Object.assign(fixture.getUse("a"), { inFlight: 30, readingTokens: 14_000 });
  fixture.add({ team: "flood", ranked: ["a"] });
  fixture.add({ ranked: ["a"] });
  fixture.advance(480);
  const seen = {
    waitedMs: 480,
    service: { asked: 0, begun: 0, mostBegun: 0 },
    standing: "even",
    coverage: { hosts: 1, ageMs: 0 },
    utilization: 0,
    readingTokens: 6_000,
    limitTokens: LIMIT_TOKENS,
    upstream: "a",
    load: {
      slots: 48,
      inFlight: 30,
      readingTokens: 14_000,
      underservedElsewhere: 0,
      underservedTokens: 0,
      yieldingElsewhere: 0,
      isWarmUpSpent: false,
    },
  };
  deepStrictEqual(fixture.refusals, [
    { ...seen, waiting: 2, yields: 2, shareUsed: 2 },
    { ...seen, waiting: 1, yields: 0, shareUsed: 0.5 },
  ]);
});

test("a prompt without eligible upstreams is refused at once", () => {
  const fixture = createFixture();
  fixture.add({ ranked: [] });
  deepStrictEqual(fixture.log, ["calm-1 no-upstream"]);
});

test("a prompt whose caller disconnects is removed from the queue", () => {
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  const prompt = fixture.add({ ranked: ["a"] });
  strictEqual(fixture.queue.remove(prompt), true);
  fixture.getUse("a").inFlight = 0;
  fixture.queue.tick();
  deepStrictEqual(fixture.log, []);
  strictEqual(fixture.queue.getCount(), 0);
});

test("prompts of a team over its share start after all others", () => {
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.overShare.add("flood");
  for (let at = 0; at < 20; at++) fixture.add({ team: "flood", ranked: ["a"] });
  fixture.add({ team: "calm", ranked: ["a"] });
  fixture.getUse("a").inFlight = 0;
  fixture.queue.tick();
  strictEqual(fixture.log[0], "calm-21 to a");
});

test("a team over its share leaves room for teams below theirs", () => {
  // One team sends seven times its share for eight seconds and fills all
  // capacity that it may use. A prompt of another team must still start at
  // once.
  const fixture = createFixture();
  fixture.overShare.add("flood");
  for (let at = 0; at < 100; at++) {
    fixture.add({ team: "flood", readingTokens: 600, ranked: ["a"] });
    fixture.getUse("a").readingTokens = 0;
  }
  ok(fixture.getUse("a").inFlight <= 48 * overShareLimit.slotShare + 1);
  fixture.add({ team: "calm", ranked: ["a"] });
  strictEqual(fixture.log.at(-1), "calm-101 to a");
});

test("under load inefficient prompts leave room for the others", () => {
  // Chats, short prompts with long answers, occupy a slot for three seconds
  // each. If they filled the upstreams, surveys, whose shared prefixes of
  // 13,300 tokens are cached, would be refused. Chats are still served in the
  // remaining slots.
  const fixture = createFixture();
  const chat = {
    readingTokens: 1_200,
    sharedTokens: 400,
    efficiency: 7,
    ranked: ["a"],
  };
  for (let at = 0; at < 48; at++) {
    fixture.add(chat);
    fixture.getUse("a").readingTokens = 0;
  }
  ok(fixture.getUse("a").inFlight >= 48 * inefficientLimit.slotShare);
  fixture.add({ ranked: ["a"] });
  strictEqual(fixture.log.at(-1), "calm-49 to a");
  fixture.add(chat);
  strictEqual(fixture.log.length, fixture.getUse("a").inFlight);
});

test("a prompt above the limit starts only where nothing is being prefilled", () => {
  const idle = {
    slots: 48,
    inFlight: 10,
    readingTokens: 0,
    underservedElsewhere: 0,
    underservedTokens: 0,
    yieldingElsewhere: 0,
    isWarmUpSpent: false,
  };
  const need = {
    readingTokens: 100_000,
    slotShare: 0.6,
    limitTokens: 15_000,
    maxCountedTokens: 0.75 * LIMIT_TOKENS,
    fullLimitTokens: LIMIT_TOKENS,
    yieldsToUnderserved: false,
  };
  strictEqual(hasRoom(idle, need), true);
  strictEqual(hasRoom({ ...idle, readingTokens: 1_200 }, need), false);
  const busy = { ...idle, readingTokens: 15_000 };
  strictEqual(hasRoom(busy, { ...need, readingTokens: 1_200 }), false);
});

test("the longest prompts start at an upstream that is always prefilling", () => {
  // Under heavy load an upstream is always prefilling. If prompts above the
  // limit waited for one that prefills nothing, most would be refused: of the
  // largest tenth of one kind 0.43 were served, of all prompts 0.93.
  const fixture = createFixture();
  fixture.getUse("a").readingTokens = LIMIT_TOKENS * 0.2;
  fixture.add({ readingTokens: 80_000, ranked: ["a"] });
  deepStrictEqual(fixture.log, ["calm-1 to a"]);
  fixture.add({ ranked: ["a"] });
  deepStrictEqual(fixture.log, ["calm-1 to a"]);
});

test("a team over its share leaves an upstream to underserved teams", () => {
  // Guards against starvation of a team that has only one host.
  const fixture = createFixture();
  fixture.overShare.add("flood");
  fixture.underserved.set("a", 1);
  const filling = { readingTokens: LIMIT_TOKENS, ranked: ["a"] };
  fixture.add({ team: "flood", ...filling });
  deepStrictEqual(fixture.log, []);
  fixture.add(filling);
  deepStrictEqual(fixture.log, ["calm-2 to a"]);
  fixture.getUse("a").readingTokens = 0;
  fixture.underserved.clear();
  fixture.queue.tick();
  strictEqual(fixture.log.at(-1), "flood-1 to a");
});

test("a prompt that leaves room for another starts even if others wait elsewhere", () => {
  // Guards against upstreams that stay idle because of outdated reports.
  const fixture = createFixture();
  fixture.overShare.add("flood");
  fixture.underserved.set("a", 1);
  fixture.add({ team: "flood", readingTokens: 6_000, ranked: ["a"] });
  deepStrictEqual(fixture.log, ["flood-1 to a"]);
});

test("two underserved teams do not wait for each other", () => {
  // Guards against upstreams that stay idle because each host yields to the
  // other.
  const fixture = createFixture();
  for (const set of [fixture.overShare, fixture.underservedTeams]) {
    set.add("poor");
  }
  fixture.underserved.set("a", 1);
  fixture.add({ team: "poor", ranked: ["a"] });
  deepStrictEqual(fixture.log, ["poor-1 to a"]);
});

test("waiting prompts of underserved teams are reported to other hosts", () => {
  const fixture = createFixture();
  fixture.underservedTeams.add("poor");
  fixture.getUse("a").inFlight = 48;
  fixture.add({ team: "poor", ranked: ["a"] });
  fixture.add({ team: "poor", ranked: ["a"] });
  fixture.add({ ranked: ["a"] });
  deepStrictEqual(fixture.underservedReports.at(-1), { a: 2 });
  fixture.getUse("a").inFlight = 0;
  fixture.advance(0);
  deepStrictEqual(fixture.underservedReports.at(-1), {});
});

test("a team that gets far less than others waits however long its backlog is here", () => {
  // Guards against a team with one host, of which few prompts wait as few start.
  const fixture = createFixture();
  const newPrompt = { team: "flood", route: "drafts", targetMs: 800 };
  fixture.getUse("a").inFlight = 48;
  fixture.overShare.add("flood");
  for (let at = 0; at < 12; at++) fixture.add({ team: "flood", ranked: ["a"] });
  strictEqual(fixture.queue.tryRefuseEarly(newPrompt)?.reason, "in-vain");
  fixture.underservedTeams.add("flood");
  strictEqual(fixture.queue.tryRefuseEarly(newPrompt), undefined);
});

test("a prompt of a team over its share is refused at once if too many wait", () => {
  // Guards against prompts that wait half a second only to be refused.
  const fixture = createFixture();
  const newPrompt = { team: "flood", route: "drafts", targetMs: 800 };
  fixture.getUse("a").inFlight = 48;
  for (let at = 0; at < 4; at++) fixture.add({ team: "flood", ranked: ["a"] });
  strictEqual(fixture.queue.tryRefuseEarly(newPrompt), undefined);
  fixture.overShare.add("flood");
  strictEqual(fixture.queue.tryRefuseEarly(newPrompt)?.reason, "in-vain");
  const other = { ...newPrompt, route: "chats" };
  strictEqual(fixture.queue.tryRefuseEarly(other), undefined);
});

test("a busy host refuses prompts of teams over their due at once, and no others", () => {
  // Guards against processor time that goes to a flood while other teams' connections aren't accepted.
  const fixture = createFixture();
  const getReason = (team: string) =>
    fixture.queue.tryRefuseEarly({ team, route: "drafts", targetMs: 800 })
      ?.reason;
  fixture.overserved.add("flood");
  for (
    const use of [
      { utilization: 0.7, isShort: true },
      { utilization: 0.95, isShort: false },
    ]
  ) {
    fixture.setProcessorUse(use);
    strictEqual(getReason("flood"), undefined);
  }
  fixture.setProcessorUse({ utilization: 0.95, isShort: true });
  deepStrictEqual(
    [getReason("flood"), getReason("calm")],
    ["host-busy", undefined],
  );
  fixture.underservedTeams.add("flood");
  strictEqual(getReason("flood"), undefined);
});

test("prompts may wait as long as enough of them start in time", () => {
  // Guards against refusals while upstreams have capacity.
  const fixture = createFixture();
  const newPrompt = { team: "flood", route: "drafts", targetMs: 800 };
  fixture.overShare.add("flood");
  for (let at = 0; at < 40; at++) {
    fixture.add({ team: "flood", readingTokens: 100, ranked: ["a"] });
    fixture.getUse("a").inFlight = 0;
    fixture.getUse("a").readingTokens = 0;
    fixture.advance(10);
  }
  fixture.getUse("a").inFlight = 48;
  for (let at = 0; at < 10; at++) fixture.add({ team: "flood", ranked: ["a"] });
  strictEqual(fixture.queue.tryRefuseEarly(newPrompt), undefined);
});

test("a scheduling pass reads the load of each upstream only once", () => {
  // With 23 hosts and 42 upstreams, two thousand reads of the load in each pass
  // made hosts fall seconds behind, so that requests were sent to upstreams
  // after their callers had disconnected.
  const fixture = createFixture();
  const ranked = Array.from({ length: 60 }, (_, at) => `up-${at}`);
  for (const upstream of ranked) fixture.getUse(upstream).inFlight = 48;
  for (let at = 0; at < 50; at++) {
    fixture.add({ ranked, sharedTokens: 400, readingTokens: 1_200 });
  }
  for (const waitedMs of [0, 400]) {
    fixture.advance(waitedMs);
    fixture.resetLoadReads();
    fixture.queue.tick();
    strictEqual(fixture.queue.getCount(), 50);
    ok(fixture.getLoadReads() <= 60);
  }
});

test("a prompt for which the first upstream has no room goes to the second, then to the third, and no further", () => {
  // Guards against prompts with a hot prefix that wait for one upstream while
  // others have room, and against copies of it at all upstreams.
  const fixture = createFixture();
  const ranked = ["a", "b", "c", "d"];
  const hot = { ranked, readingTokens: 8_000, fetchTokens: 1_000 };
  // None is idle.
  for (const id of ranked) fixture.getUse(id).inFlight = 1;
  for (let at = 0; at < 4; at++) fixture.add(hot);
  deepStrictEqual(fixture.log, ["calm-1 to a", "calm-2 to b", "calm-3 to c"]);
  deepStrictEqual(
    ranked.map((id) => fixture.getUse(id).readingTokens),
    [8_000, 9_000, 9_000, 0],
  );
  // The first is preferred again once it has room.
  fixture.getUse("b").readingTokens = 0;
  fixture.getUse("a").readingTokens = 0;
  fixture.advance(10);
  strictEqual(fixture.log.at(-1), "calm-4 to a");
});

test("a prompt keeps to its first upstream over a link on which a fetch costs little", () => {
  // Guards against prefixes that are copied for a small difference in load.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 5;
  fixture.add({ fetchTokens: 10 });
  deepStrictEqual(fixture.log, ["calm-1 to a"]);
});

test("shortly before its refusal a prompt goes to any idle upstream, with a fetch", () => {
  const fixture = createFixture();
  const ranked = ["a", "b", "c", "d"];
  for (const id of ["a", "b", "c"]) fixture.getUse(id).inFlight = 48;
  fixture.add({ ranked, fetchTokens: 1_000 });
  deepStrictEqual(fixture.log, []);
  fixture.advance(450);
  deepStrictEqual(fixture.log, ["calm-1 to d"]);
  strictEqual(fixture.getUse("d").readingTokens, 7_000);
});

test("a busy upstream gets no copy of a prefix", () => {
  // Guards against a hot prefix that delays the prompts of all upstreams.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.getUse("b").inFlight = 20;
  const ranked = ["a", "b"];
  fixture.add({ ranked, holders: ["a"], fetchTokens: 1_000 });
  deepStrictEqual(fixture.log, []);
  fixture.getUse("b").inFlight = 10;
  fixture.advance(10);
  deepStrictEqual(fixture.log, ["calm-1 to b"]);
});

test("a prompt with an unknown prefix waits for its first upstream alone, and then goes to an idle one", () => {
  // Guards against a prefix that is prefilled at several upstreams at once.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.getUse("b").inFlight = 1;
  const ranked = ["a", "b", "c"];
  fixture.add({ ranked, holders: [], fetchTokens: 1_000 });
  deepStrictEqual(fixture.log, []);
  fixture.advance(450);
  deepStrictEqual(fixture.log, ["calm-1 to c"]);
  strictEqual(fixture.getUse("c").readingTokens, 24_000);
});

test("a prompt goes to the first holder with room, though another one is less busy", () => {
  // Guards against copies that stay in use at all holders after a burst.
  const fixture = createFixture();
  const options = { ranked: ["a", "b", "c"], fetchTokens: 1_000 };
  fixture.getUse("b").inFlight = 5;
  fixture.add({ ...options, holders: ["c", "b"] });
  fixture.getUse("b").inFlight = 48;
  fixture.add({ ...options, holders: ["c", "b"] });
  deepStrictEqual(fixture.log, ["calm-1 to b", "calm-2 to c"]);
});
