import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { getOrCreate } from "../core/mod.ts";
import type { QueueInputs } from "../diagnostics/mod.ts";
import {
  createPromptQueue,
  defaultPromptQueueOptions,
  hasRoom,
} from "./prompt_queue.ts";
import type { WaitingPrompt } from "./types.ts";

const { overShareLimit, inefficientLimit } = defaultPromptQueueOptions;

/** What an upstream may have to read at once. */
const LIMIT_TOKENS = 15_000;

interface PromptOptions {
  readonly team?: string;
  readonly readingTokens?: number;
  /** To read the shared part again. */
  readonly sharedTokens?: number;
  readonly workTokens?: number;
  /** Service for a token of work; 60 is the mean. */
  readonly efficiency?: number;
  readonly ranked?: readonly string[];
}

/** A queue before upstreams of 48 slots, of which nothing is in use. */
function createFixture() {
  let nowMs = 0;
  let prompts = 0;
  let loadReads = 0;
  const loads = new Map<string, { inFlight: number; readingTokens: number }>();
  const overShare = new Set<string>();
  const overserved = new Set<string>();
  const underservedTeams = new Set<string>();
  /** Prompts of underserved teams at other hosts, by upstream. */
  const underserved = new Map<string, number>();
  const underservedReports: Readonly<Record<string, number>>[] = [];
  const log: string[] = [];
  /** Requests whose callers have left. */
  const disconnected = new Set<string>();
  const randoms: number[] = [];
  const retryAfterMs: number[] = [];
  const refusals: QueueInputs[] = [];
  const getUse = (upstream: string) =>
    getOrCreate(loads, upstream, () => ({ inFlight: 0, readingTokens: 0 }));
  const queue = createPromptQueue({
    nowMs: () => nowMs,
    getLoad(upstream) {
      loadReads++;
      const underservedElsewhere = underserved.get(upstream) ?? 0;
      return { slots: 48, ...getUse(upstream), underservedElsewhere };
    },
    isOverserved: (team) => overserved.has(team),
    isUnderserved: (team) => underservedTeams.has(team),
    onUnderservedWaiting: (prompts) =>
      void underservedReports.push(Object.fromEntries(prompts)),
    getShareUsed: (team) => overShare.has(team) ? 2 : 0.5,
    getMeanEfficiency: () => 60,
    getLimitTokens: () => LIMIT_TOKENS,
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
    } = options;
    const request = `${team}-${++prompts}`;
    const prompt: WaitingPrompt = {
      request,
      team,
      service: "model",
      route: "drafts",
      arrivedMs: nowMs,
      targetMs: 800,
      serviceTokens: workTokens * efficiency,
      workTokens,
      isCallerConnected: () => !disconnected.has(request),
      // All but the first have a shared part of 13,300 tokens to read as well.
      getUpstreams: () =>
        ranked.map((upstream, at) => ({
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
    underserved,
    underservedReports,
    randoms,
    retryAfterMs,
    refusals,
    getUse,
    getLoadReads: () => loadReads,
    resetLoadReads: () => loadReads = 0,
    advance(ms: number) {
      nowMs += ms;
      queue.tick();
    },
  };
}

test("a prompt that is found late is refused, though there is room for it", () => {
  // Guards against starts, after a long turn, of what can't be on time.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.add({ ranked: ["a"] });
  fixture.getUse("a").inFlight = 0;
  fixture.advance(600);
  deepStrictEqual(fixture.log, ["calm-1 late"]);
});

test("a team that is ahead goes last, and gets the room that nobody waits for", () => {
  // Guards against a flood that starts before calm teams, and against upstreams
  // that idle beside it.
  const fixture = createFixture();
  fixture.overserved.add("flood");
  fixture.getUse("a").readingTokens = LIMIT_TOKENS;
  fixture.add({ ranked: ["a"] });
  fixture.add({ team: "flood", ranked: ["a"] });
  fixture.getUse("a").readingTokens = 0;
  fixture.advance(100);
  deepStrictEqual(fixture.log, ["calm-1 to a", "flood-2 to a"]);
});

test("a team that is ahead fills no upstream for which an underserved one waits", () => {
  // Guards against teams that get less the fewer hosts their callers use.
  const fixture = createFixture();
  fixture.overserved.add("flood");
  fixture.underserved.set("a", 1);
  fixture.add({ team: "flood", ranked: ["a"], readingTokens: 9_000 });
  deepStrictEqual(fixture.log, []);
  fixture.underserved.clear();
  fixture.queue.tick();
  deepStrictEqual(fixture.log, ["flood-1 to a"]);
});

test("nothing is started for a caller that has left", () => {
  // Guards against upstreams that work for nobody.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.add({ ranked: ["a"] });
  fixture.add({ ranked: ["a"] });
  fixture.getUse("a").inFlight = 0;
  fixture.disconnected.add("calm-2");
  fixture.advance(100);
  deepStrictEqual(fixture.log, ["calm-1 to a"]);
});

test("an upstream whose slots are in use is sent nothing more", () => {
  // Bursts on nine hosts: with 48 slots in use a request waits inside the
  // upstream for 0.9 s (median, measured), where it can't be refused in time.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 29;
  fixture.add({ ranked: ["a"] });
  deepStrictEqual(fixture.log, []);
  fixture.getUse("a").inFlight = 28;
  fixture.queue.tick();
  deepStrictEqual(fixture.log, ["calm-1 to a"]);
});

test("a prompt keeps to the upstream that has its shared part for a while", () => {
  const fixture = createFixture();
  fixture.getUse("a").readingTokens = LIMIT_TOKENS;
  fixture.add();
  fixture.advance(430);
  deepStrictEqual(fixture.log, []);
  fixture.advance(20);
  deepStrictEqual(fixture.log, ["calm-1 to b"]);
});

test("a prompt leaves its shared part behind only for an upstream that idles", () => {
  // Prompts that could not start at once were sent where there was room for them.
  // The shared part was read again there, and the answers beside it paused.
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

test("a prompt with little to share goes where least is in flight", () => {
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 20;
  fixture.add({ readingTokens: 1_200, sharedTokens: 400 });
  deepStrictEqual(fixture.log, ["calm-1 to b"]);
});

test("with little to share a prompt goes to the next two where two are full", () => {
  // Sent wherever least is in flight, every upstream keeps a copy of every small
  // part; together they push the long ones out of memory, which are read again.
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

test("what can't be on time is refused, not held to its deadline", () => {
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.add({ ranked: ["a"] });
  fixture.advance(479);
  deepStrictEqual(fixture.log, []);
  fixture.advance(1);
  deepStrictEqual(fixture.log, ["calm-1 late"]);
});

test("of prompts that wait the newest starts first", () => {
  // More prompts come than are read in time. In the order of arrival each would
  // start when half of its target is over, and all would be late.
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

test("callers that are refused together are told to come back one by one", () => {
  // A hundred callers refused in the same look came back a second later in the
  // same 20 ms, found the upstreams full and were refused for good.
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  for (let at = 0; at < 5; at++) fixture.add({ ranked: ["a"] });
  fixture.randoms.push(0, 0.25, 0.5, 0.75, 1);
  fixture.advance(480);
  deepStrictEqual(fixture.retryAfterMs, [750, 875, 1_000, 1_125, 1_250]);
});

test("a refusal tells what it was decided from", () => {
  // A caller complains of a 503; whether its team had had too much or everything
  // was full must stand in the line of that very request.
  const fixture = createFixture();
  fixture.overShare.add("flood");
  Object.assign(fixture.getUse("a"), { inFlight: 30, readingTokens: 14_000 });
  fixture.add({ team: "flood", ranked: ["a"] });
  fixture.add({ ranked: ["a"] });
  fixture.advance(480);
  const seen = {
    waitedMs: 480,
    limitTokens: LIMIT_TOKENS,
    upstream: "a",
    load: {
      slots: 48,
      inFlight: 30,
      readingTokens: 14_000,
      underservedElsewhere: 0,
    },
  };
  deepStrictEqual(fixture.refusals, [
    { ...seen, waiting: 2, yields: 2, shareUsed: 2 },
    { ...seen, waiting: 1, yields: 0, shareUsed: 0.5 },
  ]);
});

test("with no upstream a prompt is refused at once", () => {
  const fixture = createFixture();
  fixture.add({ ranked: [] });
  deepStrictEqual(fixture.log, ["calm-1 no-upstream"]);
});

test("a caller that leaves leaves no place behind", () => {
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  const prompt = fixture.add({ ranked: ["a"] });
  strictEqual(fixture.queue.remove(prompt), true);
  fixture.getUse("a").inFlight = 0;
  fixture.queue.tick();
  deepStrictEqual(fixture.log, []);
  strictEqual(fixture.queue.getCount(), 0);
});

test("a team over its share goes behind the others", () => {
  const fixture = createFixture();
  fixture.getUse("a").inFlight = 48;
  fixture.overShare.add("flood");
  for (let at = 0; at < 20; at++) fixture.add({ team: "flood", ranked: ["a"] });
  fixture.add({ team: "calm", ranked: ["a"] });
  fixture.getUse("a").inFlight = 0;
  fixture.queue.tick();
  strictEqual(fixture.log[0], "calm-21 to a");
});

test("a flood leaves room for the teams that are under their share", () => {
  // One team sends seven times its share for eight seconds. Its prompts fill
  // what is free; another team's prompt comes and must start at once.
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

test("under load long answers to short prompts leave room for the others", () => {
  // Chats hold a place for three seconds each and fill the upstreams; surveys,
  // whose 13,300 shared tokens are kept, would be refused. Chats go on being
  // served in the other places.
  const fixture = createFixture();
  const chat = {
    readingTokens: 1_200,
    sharedTokens: 400,
    serviceYield: 7,
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

test("a prompt that counts for more than the limit starts where nothing is read", () => {
  const idle = {
    slots: 48,
    inFlight: 10,
    readingTokens: 0,
    underservedElsewhere: 0,
  };
  const need = {
    readingTokens: 100_000,
    slotShare: 0.6,
    limitTokens: 15_000,
    fullLimitTokens: LIMIT_TOKENS,
    yieldsToUnderserved: false,
  };
  strictEqual(hasRoom(idle, need), true);
  strictEqual(hasRoom({ ...idle, readingTokens: 1_200 }, need), false);
  const busy = { ...idle, readingTokens: 15_000 };
  strictEqual(hasRoom(busy, { ...need, readingTokens: 1_200 }), false);
});

test("the longest prompts start though their upstream never stops reading", () => {
  // On a heavy day an upstream always reads something. Prompts larger than the
  // limit waited for one that reads nothing, and were refused one after another:
  // of the largest tenth of a kind 0.43 were served, of all 0.93.
  const fixture = createFixture();
  fixture.getUse("a").readingTokens = LIMIT_TOKENS * 0.2;
  fixture.add({ readingTokens: 80_000, ranked: ["a"] });
  deepStrictEqual(fixture.log, ["calm-1 to a"]);
  fixture.add({ ranked: ["a"] });
  deepStrictEqual(fixture.log, ["calm-1 to a"]);
});

test("a team over its share leaves an upstream to underserved teams", () => {
  // Guards against a team with one host that never gets a turn at an upstream.
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

test("what an upstream has room for starts whoever waits elsewhere", () => {
  // Guards against upstreams that idle for prompts of which old reports tell.
  const fixture = createFixture();
  fixture.overShare.add("flood");
  fixture.underserved.set("a", 1);
  fixture.add({ team: "flood", readingTokens: 6_000, ranked: ["a"] });
  deepStrictEqual(fixture.log, ["flood-1 to a"]);
});

test("two underserved teams do not wait for each other", () => {
  // Guards against upstreams that idle since each host leaves them to the other.
  const fixture = createFixture();
  for (const set of [fixture.overShare, fixture.underservedTeams]) {
    set.add("poor");
  }
  fixture.underserved.set("a", 1);
  fixture.add({ team: "poor", ranked: ["a"] });
  deepStrictEqual(fixture.log, ["poor-1 to a"]);
});

test("other hosts are told of the waiting prompts of underserved teams", () => {
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

test("a team over its share is refused at once what would wait in vain", () => {
  // Guards against a flood whose prompts wait for half a second for a refusal.
  const fixture = createFixture();
  const asked = { team: "flood", route: "drafts", targetMs: 800 };
  fixture.getUse("a").inFlight = 48;
  for (let at = 0; at < 4; at++) fixture.add({ team: "flood", ranked: ["a"] });
  strictEqual(fixture.queue.tryRefuseEarly(asked), undefined);
  fixture.overShare.add("flood");
  strictEqual(fixture.queue.tryRefuseEarly(asked)?.reason, "in-vain");
  const other = { ...asked, route: "chats" };
  strictEqual(fixture.queue.tryRefuseEarly(other), undefined);
});

test("as many may wait as start in the time, and more", () => {
  // Guards against refusals where upstreams would have had room.
  const fixture = createFixture();
  const asked = { team: "flood", route: "drafts", targetMs: 800 };
  fixture.overShare.add("flood");
  for (let at = 0; at < 40; at++) {
    fixture.add({ team: "flood", readingTokens: 100, ranked: ["a"] });
    fixture.getUse("a").inFlight = 0;
    fixture.getUse("a").readingTokens = 0;
    fixture.advance(10);
  }
  fixture.getUse("a").inFlight = 48;
  for (let at = 0; at < 10; at++) fixture.add({ team: "flood", ranked: ["a"] });
  strictEqual(fixture.queue.tryRefuseEarly(asked), undefined);
});

test("a long queue before many upstreams is looked at in little time", () => {
  // At 23 hosts and 42 upstreams, two thousand looks at the load for each look
  // at the queue made hosts fall seconds behind: requests were sent on after
  // their callers had left.
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
