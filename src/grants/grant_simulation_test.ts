import { ok } from "node:assert";
import { test } from "node:test";
import { rankByRendezvous } from "../membership/mod.ts";
import { createRandom } from "../measure/random.ts";
import { createVirtualScheduler } from "../measure/virtual_scheduler.ts";
import {
  createPromptQueue,
  type PromptQueue,
  type WaitingPrompt,
} from "../queue/mod.ts";
import { createGrantClient, type GrantClient } from "./grant_client.ts";
import { createGrantOwner, type GrantOwner } from "./grant_owner.ts";
import type { OwnerItem, RequesterItem } from "./types.ts";

const HOSTS = 59;
const UPSTREAMS = ["a", "b", "c", "d", "e", "f", "g", "h"];
const MS_PER_TOKEN = 0.02;
/** Mean tokens of a prompt: 80 ms of prefill. */
const MEAN_TOKENS = 4_000;
const LOAD_FACTOR = 2;
const LIMIT_TOKENS = 5_600;
const REPORT_AGE_MS = 200;
/** Time from the end of a prefill to the prompt's first event. */
const FIRST_EVENT_MS = 200;
const WARM_UP_MS = 1_000;
const END_MS = 6_000;

interface Result {
  readonly idleShare: number;
  /** How far ahead the end of the prefill was when a prompt arrived, in ms. */
  readonly maxAheadMs: number;
  readonly meanAheadMs: number;
}

/** Simulates the fleet, with grants or by the local rules. */
function simulate(hasGrants: boolean): Result {
  const random = createRandom(5);
  const scheduler = createVirtualScheduler();
  const nowMs = scheduler.clock.monotonicMs;
  const engines = new Map(
    UPSTREAMS.map((id) => [id, { endMs: 0, idleMs: 0 }]),
  );
  const aheadMs: number[] = [];
  /** Tokens that count as being prefilled, as started and as reported. */
  const reported = new Map<string, number>();
  const own = Array.from({ length: HOSTS }, () => new Map<string, number>());
  const owners: GrantOwner[] = [];
  const clients: GrantClient[] = [];
  const queues: PromptQueue[] = [];

  const getLagMs = () => 1 + 19 * random();
  const getOwner = (upstream: string) =>
    rankByRendezvous(
      upstream,
      Array.from({ length: HOSTS }, (_, at) => `${at}`),
    )
      .at(0)!;

  function addTokens(host: number, upstream: string, tokens: number): void {
    const use = own[host]!;
    use.set(upstream, (use.get(upstream) ?? 0) + tokens);
    scheduler.after(REPORT_AGE_MS, () => {
      reported.set(upstream, (reported.get(upstream) ?? 0) + tokens);
    });
  }

  /** The prompt arrives at its upstream, which prefills one after the other. */
  function prefill(host: number, upstream: string, tokens: number): void {
    const engine = engines.get(upstream)!;
    if (nowMs() > WARM_UP_MS) {
      const sinceMs = Math.max(engine.endMs, WARM_UP_MS);
      engine.idleMs += Math.max(0, nowMs() - sinceMs);
    }
    engine.endMs = Math.max(engine.endMs, nowMs()) + tokens * MS_PER_TOKEN;
    aheadMs.push(engine.endMs - nowMs());
    scheduler.after(
      engine.endMs - nowMs() + FIRST_EVENT_MS,
      () => addTokens(host, upstream, -tokens),
    );
  }

  for (let at = 0; at < HOSTS; at++) {
    const address = `${at}`;
    const owner = createGrantOwner({
      nowMs,
      getSlotShare: () => 0.6,
      tryGetUpstream: (digest) => ({
        slots: 1_000,
        msPerToken: MS_PER_TOKEN,
        inFlight: 0,
        readingTokens: reported.get(String.fromCharCode(digest)) ?? 0,
        limitTokens: 14_000,
      }),
      getServiceLevel: () => 0,
      send: ({ address: to }, item: OwnerItem) =>
        scheduler.after(
          getLagMs(),
          () => clients[Number(to)]!.receive(address, [item]),
        ),
    });
    const client = createGrantClient({
      nowMs,
      isEnabled: () => hasGrants,
      tryGetOwner: getOwner,
      tryGetUpstreamDigest: (id) => id.charCodeAt(0),
      getDigest: (name) => name.length,
      send: (to, item: RequesterItem) =>
        scheduler.after(
          getLagMs(),
          () => owners[Number(to)]!.receive({ address, session: 1 }, [item]),
        ),
      start: (...granted) => queues[at]!.startGranted(...granted),
      onEnded() {},
    });
    // What the reports lack of this host's own prompts.
    const ownReported = new Map<string, number>();
    const queue = createPromptQueue({
      nowMs,
      getLoad: (upstream) => ({
        slots: 1_000,
        inFlight: 1,
        readingTokens: (reported.get(upstream) ?? 0) +
          (own[at]!.get(upstream) ?? 0) - (ownReported.get(upstream) ?? 0),
        underservedElsewhere: 0,
        underservedTokens: 0,
        yieldingElsewhere: 0,
        isWarmUpSpent: false,
      }),
      getShareUsed: () => 0,
      getServiceRates: () => ({ asked: 0, begun: 0, mostBegun: 0 }),
      getCoverage: () => ({ hosts: 1, ageMs: 0 }),
      getServiceLevel: () => 0,
      isOverserved: () => false,
      isUnderserved: () => false,
      onWaiting() {},
      getProcessorUse: () => ({ utilization: 0, isShort: false }),
      getMeanEfficiency: () => 0,
      getLimitTokens: () => LIMIT_TOKENS,
      random,
      onStart(_prompt, upstream, tokens) {
        addTokens(at, upstream, tokens);
        const add = (sign: number) => () =>
          void ownReported.set(
            upstream,
            (ownReported.get(upstream) ?? 0) + sign * tokens,
          );
        scheduler.after(REPORT_AGE_MS, add(1));
        scheduler.after(getLagMs(), () => prefill(at, upstream, tokens));
      },
      grants: client,
    });
    owners.push(owner);
    clients.push(client);
    queues.push(queue);
    scheduler.after(10 * random(), () =>
      scheduler.every(10, () => {
        owner.tick();
        client.tick();
        queue.tick();
      }));
  }

  let prompts = 0;
  function arrive(): void {
    const at = Math.floor(random() * UPSTREAMS.length);
    const tokens = MEAN_TOKENS * (0.5 + random());
    const ranked = [...UPSTREAMS.slice(at), ...UPSTREAMS.slice(0, at)];
    const prompt: WaitingPrompt = {
      request: `r-${++prompts}`,
      team: "t".repeat(1 + prompts % 7),
      service: "model",
      route: "drafts",
      arrivedMs: nowMs(),
      targetMs: 800,
      serviceTokens: tokens,
      workTokens: tokens,
      isBegun: false,
      isRepeated: false,
      isCallerConnected: () => true,
      getUpstreams: () =>
        ranked.slice(0, 3).map((upstream) => ({
          upstream,
          readingTokens: tokens,
          prefix: "held",
        })),
      start() {},
      refuse() {},
    };
    queues[Math.floor(random() * HOSTS)]!.add(prompt);
    const meanMs = MEAN_TOKENS * MS_PER_TOKEN / UPSTREAMS.length / LOAD_FACTOR;
    scheduler.after(-Math.log(1 - random()) * meanMs, arrive);
  }
  arrive();
  scheduler.runUntil(END_MS);
  let idleMs = 0;
  for (const engine of engines.values()) {
    idleMs += engine.idleMs + Math.max(0, END_MS - engine.endMs);
  }
  return {
    idleShare: idleMs / UPSTREAMS.length / (END_MS - WARM_UP_MS),
    maxAheadMs: aheadMs.reduce((a, b) => Math.max(a, b), 0),
    meanAheadMs: aheadMs.reduce((a, b) => a + b, 0) / aheadMs.length,
  };
}

test("59 hosts keep the upstreams busy without a queue inside them", (t) => {
  // Guards against idle upstreams, and several prompts at once, where hosts
  // decide on load reports that are older than a prefill takes.
  const local = simulate(false);
  const granted = simulate(true);
  t.diagnostic(JSON.stringify({ local, granted }));
  ok(granted.idleShare < 0.1, `${granted.idleShare}`);
  ok(granted.maxAheadMs <= 250, `${granted.maxAheadMs}`);
  ok(granted.idleShare < local.idleShare, `${local.idleShare}`);
  ok(granted.maxAheadMs < local.maxAheadMs, `${local.maxAheadMs}`);
});
