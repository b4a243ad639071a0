/**
 * Scenario `warm-up`: a data centre's upstreams return cold while all hosts send
 * at full load. Compares ways to keep the limit of a cold upstream over the
 * whole fleet.
 *
 * @module
 */

import { createManualClock, type ManualClock } from "../core/mod.ts";
import { tryGetOwner } from "../membership/mod.ts";
import {
  createColdUpstreams,
  createWarmUps,
  type PartHost,
  type WarmingUpstream,
  type WarmUpLimit,
  type WarmUps,
} from "../warmup/mod.ts";
import type { ScenarioOptions } from "./main.ts";
import { createRandom, type Random } from "./random.ts";
import type { Figure, Report } from "./report.ts";

const UPSTREAMS = 63;
const RETURNING = 15;
const REGIONS = ["lagos", "abuja"];

/** Requests that one upstream runs at once, and how long each takes in ms. */
const SLOTS = 8;
const RUN_MS = 500;
const COLD_RUN_MS = 1_000;

/** Load as a share of what all upstreams run when they are warm. */
const UTILISATION = 0.9;

/** How long a request waits for an upstream before it is refused, in ms. */
const MAX_WAIT_MS = 480;

/** Share of the requests that any upstream serves equally well. */
const FLEXIBLE_SHARE = 0.4;

/** Upstreams that a request considers, in its own order. */
const CONSIDERED = 8;

const STEP_MS = 5;
const DURATION_MS = 6_000;

/** Hosts learn of a start up to this time later, in ms. */
const MAX_LEARNING_MS = 500;

/** Delays between hosts in the same and in different regions, in ms. */
const NEAR_MS = 1.4;
const FAR_MS = 20;

/** Time for which a token from an owner may be used, in ms. */
const TOKEN_TTL_MS = 300;

/** Which hosts see each other: all, or each half only itself. */
export type Visibility = "whole" | "halves";

/**
 * How the hosts share a limit. `drawn-first`: a drawn host sends requests that
 * any upstream can serve to the cold one first.
 */
export type WarmUpPolicy =
  | "unlimited"
  | "even"
  | "owner"
  | "drawn"
  | "drawn-first";

/** Parameters of a run. */
export interface WarmUpRun {
  readonly seed: number;
  readonly hosts: number;
  readonly visibility: Visibility;
  readonly policy: WarmUpPolicy;
  readonly limit: WarmUpLimit;
}

/** The result of a run. */
export interface WarmUpResult {
  /** Requests that reached one cold upstream in its worst second. */
  readonly worstSecond: number;
  /** Share of the limit that cold upstreams got. */
  readonly usedShare: number;
  /** Share of all requests that were refused. */
  readonly refusedShare: number;
  /** Time in ms until the returned upstreams run as much as the others. */
  readonly fullUseMs: number;
  readonly messages: number;
}

interface SimulatedHost {
  readonly index: number;
  readonly address: string;
  readonly region: string;
  readonly warmUps: WarmUps;
}

interface SimulatedUpstream extends WarmingUpstream {
  readonly region: string;
  readonly isReturning: boolean;
  /** Ends of its runs, in ms. */
  running: number[];
  readonly sentMs: number[];
}

interface Waiting {
  readonly host: SimulatedHost;
  readonly sinceMs: number;
  readonly candidates: readonly SimulatedUpstream[];
  /** Whether any upstream serves it as well as the first candidates. */
  readonly isFlexible: boolean;
}

/** Runs one simulation. */
export function simulateWarmUp(run: WarmUpRun): WarmUpResult {
  const random = createRandom(run.seed);
  const clock = createManualClock(10_000);
  const startMs = clock.monotonicMs();
  const upstreams = createUpstreams(run.limit);
  const bus = createTokenBus(run, clock);
  const hosts = createHosts(run, { clock, random, upstreams, bus });
  const rate = UPSTREAMS * SLOTS / RUN_MS * UTILISATION;
  let waiting: Waiting[] = [];
  let refused = 0;
  let asked = 0;

  const returning = upstreams.filter((each) => each.isReturning);

  function getPreferred({ host, isFlexible }: Waiting) {
    if (run.policy !== "drawn-first" || !isFlexible) return [];
    return returning.filter((each) =>
      host.warmUps.getAllowance(each) === "now"
    );
  }

  function tryStart(request: Waiting): boolean {
    const { host } = request;
    const nowMs = clock.monotonicMs();
    const candidates = [...getPreferred(request), ...request.candidates];
    const chosen = candidates.find((each) =>
      each.running.length < SLOTS &&
      ["unlimited", "now"].includes(host.warmUps.getAllowance(each))
    );
    if (chosen === undefined) return false;
    const isCold = chosen.isReturning &&
      nowMs - startMs < run.limit.durationMs;
    host.warmUps.take(chosen);
    chosen.running.push(nowMs + (isCold ? COLD_RUN_MS : RUN_MS));
    chosen.sentMs.push(
      nowMs - startMs + (host.region === chosen.region ? NEAR_MS : FAR_MS),
    );
    return true;
  }

  while (clock.monotonicMs() - startMs < DURATION_MS) {
    clock.advance(STEP_MS);
    const nowMs = clock.monotonicMs();
    bus.deliver();
    for (const each of upstreams) {
      each.running = each.running.filter((endMs) => endMs > nowMs);
    }
    for (let due = getPoisson(rate * STEP_MS, random); due > 0; due--) {
      asked++;
      const first = Math.floor(random() * UPSTREAMS);
      waiting.push({
        host: hosts[Math.floor(random() * hosts.length)]!,
        sinceMs: nowMs,
        candidates: Array.from(
          { length: CONSIDERED },
          (_, at) => upstreams[(first + at) % UPSTREAMS]!,
        ),
        isFlexible: random() < FLEXIBLE_SHARE,
      });
    }
    waiting = waiting.filter((each) => !tryStart(each));
    const patient = waiting.filter((each) =>
      nowMs - each.sinceMs < MAX_WAIT_MS
    );
    refused += waiting.length - patient.length;
    waiting = patient;
  }
  return {
    worstSecond: Math.max(
      ...returning.map((each) => getWorstSecond(each, run.limit.durationMs)),
    ),
    usedShare: getUsedShare(returning, run.limit),
    refusedShare: refused / asked,
    fullUseMs: getFullUseMs(upstreams),
    messages: bus.countMessages(),
  };
}

function createUpstreams({ durationMs }: WarmUpLimit) {
  return Array.from({ length: UPSTREAMS }, (_, at): SimulatedUpstream => ({
    id: `upstream-${at}`,
    service: durationMs > 0 ? "model" : "",
    dataCentre: REGIONS[at % 2]!,
    incarnation: 1,
    region: REGIONS[at % 2]!,
    isReturning: at % 2 === 0 && at < RETURNING * 2,
    running: [],
    sentMs: [],
  }));
}

function createHosts(
  run: WarmUpRun,
  parts: {
    readonly clock: ManualClock;
    readonly random: Random;
    readonly upstreams: readonly SimulatedUpstream[];
    readonly bus: TokenBus;
  },
): readonly SimulatedHost[] {
  const { clock, random, upstreams, bus } = parts;
  const all = Array.from({ length: run.hosts }, (_, index) => ({
    index,
    address: `10.0.${index >> 8}.${index & 255}:1`,
    region: REGIONS[index % 2]!,
  }));

  return all.map((self) => {
    const sees = (other: number) => isVisible(run, self.index, other);
    const hosts = all.map((each): PartHost => ({
      address: each.address,
      region: each.region,
      isAlive: sees(each.index),
    }));
    const tryGetLimit = () => run.limit;
    const cold = createColdUpstreams({ clock, tryGetLimit, onCold: () => {} });
    const learnedMs = random() * MAX_LEARNING_MS;
    cold.update(upstreams.map((value) => ({
      version: 1,
      value: {
        ...value,
        warmUpLeftMs: value.isReturning ? run.limit.durationMs + learnedMs : 0,
      },
    })));
    const drawn = createWarmUps({
      clock,
      cold,
      self: self.address,
      startedMs: -Infinity,
      tryGetLimit,
      getRegion: (dataCentre) => dataCentre,
      getHosts: () => hosts,
    });
    const warmUps: Record<WarmUpPolicy, () => WarmUps> = {
      unlimited: () => createUnlimited(drawn),
      even: () => createEven(run, clock, drawn),
      owner: () => createOwnerClient(self, { bus, clock, hosts, drawn }),
      drawn: () => drawn,
      "drawn-first": () => drawn,
    };
    return { ...self, warmUps: warmUps[run.policy]() };
  });
}

function isVisible(run: WarmUpRun, from: number, to: number): boolean {
  // Halves that each have hosts of both regions.
  return run.visibility === "whole" || (from >> 1) % 2 === (to >> 1) % 2;
}

function createUnlimited(base: WarmUps): WarmUps {
  return { ...base, getAllowance: () => "unlimited", take: () => {} };
}

/** Each host has an even part of the limit. */
function createEven(run: WarmUpRun, clock: ManualClock, base: WarmUps) {
  const nextMs = new Map<string, number>();
  const intervalMs = 1_000 * run.hosts / run.limit.requestsPerSecond;
  const warmUps: WarmUps = {
    ...base,
    getAllowance(upstream) {
      if (!base.isCold(upstream)) return "unlimited";
      const nowMs = clock.monotonicMs();
      if (!nextMs.has(upstream.id)) nextMs.set(upstream.id, nowMs + intervalMs);
      return nowMs >= nextMs.get(upstream.id)! ? "now" : "later";
    },
    take: (upstream) =>
      void nextMs.set(upstream.id, clock.monotonicMs() + intervalMs),
  };
  return warmUps;
}

interface TokenBus {
  /** Asks the owner for one request to the upstream. */
  ask(ask: TokenAsk): void;
  /** Delivers all messages that are due. */
  deliver(): void;
  countMessages(): number;
}

interface TokenAsk {
  readonly from: number;
  readonly owner: number;
  readonly upstream: string;
  onGranted(): void;
}

/** Owners grant evenly spaced tokens to the hosts that ask for them. */
function createTokenBus(run: WarmUpRun, clock: ManualClock): TokenBus {
  const inTransit: { readonly atMs: number; deliver(): void }[] = [];
  const nextGrantMs = new Map<string, number>();
  let messages = 0;

  function send(
    from: number,
    to: number,
    afterMs: number,
    deliver: () => void,
  ) {
    messages++;
    if (!isVisible(run, from, to)) return;
    const delayMs = from % 2 === to % 2 ? NEAR_MS : FAR_MS;
    inTransit.push({ atMs: clock.monotonicMs() + afterMs + delayMs, deliver });
  }

  function grant({ from, owner, upstream, onGranted }: TokenAsk): void {
    const key = `${owner}/${upstream}`;
    const nowMs = clock.monotonicMs();
    const spacingMs = 1_000 / run.limit.requestsPerSecond;
    const atMs = Math.max(nowMs, nextGrantMs.get(key) ?? nowMs + spacingMs);
    if (atMs - nowMs > MAX_WAIT_MS) return;
    nextGrantMs.set(key, atMs + spacingMs);
    send(owner, from, atMs - nowMs, onGranted);
  }

  return {
    ask: (ask) => send(ask.from, ask.owner, 0, () => grant(ask)),
    deliver() {
      const nowMs = clock.monotonicMs();
      const due = inTransit.filter((each) => each.atMs <= nowMs);
      const left = inTransit.filter((each) => each.atMs > nowMs);
      inTransit.splice(0, inTransit.length, ...left);
      for (const each of due) each.deliver();
    },
    countMessages: () => messages,
  };
}

function createOwnerClient(
  self: { readonly index: number; readonly address: string },
  parts: {
    readonly bus: TokenBus;
    readonly clock: ManualClock;
    readonly hosts: readonly PartHost[];
    readonly drawn: WarmUps;
  },
): WarmUps {
  const { bus, clock, hosts, drawn } = parts;
  const askedMs = new Map<string, number>();
  const grantedMs = new Map<string, number>();
  const alive = hosts.filter((each) => each.isAlive);

  function ask(upstream: string): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - (askedMs.get(upstream) ?? -Infinity) < MAX_WAIT_MS) return;
    askedMs.set(upstream, nowMs);
    const owner = tryGetOwner(upstream, alive.map((each) => each.address))!;
    bus.ask({
      from: self.index,
      owner: hosts.findIndex((each) => each.address === owner),
      upstream,
      onGranted: () => void grantedMs.set(upstream, clock.monotonicMs()),
    });
  }

  return {
    ...drawn,
    getAllowance(upstream) {
      if (!drawn.isCold(upstream)) return "unlimited";
      const sinceMs = grantedMs.get(upstream.id) ?? -Infinity;
      if (clock.monotonicMs() - sinceMs < TOKEN_TTL_MS) return "now";
      ask(upstream.id);
      return "later";
    },
    take(upstream) {
      grantedMs.delete(upstream.id);
      askedMs.delete(upstream.id);
    },
  };
}

function getPoisson(mean: number, random: Random): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count++;
  return count;
}

function getWorstSecond(
  { sentMs }: SimulatedUpstream,
  coldMs: number,
): number {
  const whileCold = sentMs.filter((atMs) => atMs < coldMs)
    .sort((a, b) => a - b);
  let worst = 0;
  let first = 0;
  for (const [at, ms] of whileCold.entries()) {
    while (ms - whileCold[first]! >= 1_000) first++;
    worst = Math.max(worst, at - first + 1);
  }
  return worst;
}

function getUsedShare(
  returning: readonly SimulatedUpstream[],
  { durationMs, requestsPerSecond }: WarmUpLimit,
): number {
  const sent = returning.flatMap((each) =>
    each.sentMs.filter((atMs) => atMs < durationMs)
  );
  const allowed = returning.length * requestsPerSecond * durationMs / 1_000;
  return sent.length / allowed;
}

/** Time until the returned upstreams get as much in half a second as others. */
function getFullUseMs(upstreams: readonly SimulatedUpstream[]): number {
  const periodMs = 500;
  const count = (each: SimulatedUpstream, fromMs: number) =>
    each.sentMs.filter((ms) => ms >= fromMs && ms < fromMs + periodMs).length;
  const getMean = (isReturning: boolean, fromMs: number) => {
    const those = upstreams.filter((each) => each.isReturning === isReturning);
    const total = those.reduce((sum, each) => sum + count(each, fromMs), 0);
    return total / those.length;
  };
  for (let fromMs = 0; fromMs + periodMs <= DURATION_MS; fromMs += periodMs) {
    if (getMean(true, fromMs) >= getMean(false, fromMs) * 0.9) return fromMs;
  }
  return DURATION_MS;
}

const POLICIES = [
  "drawn-first",
  "drawn",
  "unlimited",
  "even",
  "owner",
] as const;

/** The limit of the measured runs. */
const LIMIT: WarmUpLimit = { durationMs: 3_000, requestsPerSecond: 9 };

/** Runs the scenario with each way. */
export function measureWarmUp({ seed, hosts }: ScenarioOptions): Report {
  const figures = (["whole", "halves"] as const).flatMap((visibility) => {
    const results = Object.fromEntries(
      POLICIES.map((policy) => [
        policy,
        simulateWarmUp({ seed, hosts, visibility, policy, limit: LIMIT }),
      ]),
    ) as Record<WarmUpPolicy, WarmUpResult>;
    return createFigures(visibility, results);
  });
  return { scenario: "warm-up", seed, hosts, figures };
}

function createFigures(
  visibility: Visibility,
  results: Readonly<Record<WarmUpPolicy, WarmUpResult>>,
): readonly Figure[] {
  const { "drawn-first": kept, ...others } = results;
  const toFigure = (name: string, key: keyof WarmUpResult): Figure => ({
    name: `${visibility}_${name}`,
    value: kept[key],
    baselines: Object.fromEntries(
      Object.entries(others).map(([policy, result]) => [policy, result[key]]),
    ),
  });
  return [
    {
      ...toFigure("worst_second_requests", "worstSecond"),
      bound: {
        kind: "at-most",
        value: LIMIT.requestsPerSecond * (visibility === "whole" ? 1 : 1.5),
      },
    },
    toFigure("used_share", "usedShare"),
    toFigure("refused_share", "refusedShare"),
    toFigure("full_use_ms", "fullUseMs"),
    toFigure("messages", "messages"),
  ];
}
