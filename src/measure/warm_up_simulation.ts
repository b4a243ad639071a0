/**
 * Simulates a data centre whose upstreams return cold while all hosts send at
 * full load.
 *
 * @module
 */

import { createManualClock, type ManualClock } from "../core/mod.ts";
import {
  createColdUpstreams,
  createWarmUps,
  type PartHost,
  type WarmingUpstream,
  type WarmUpLimit,
  type WarmUps,
} from "../warmup/mod.ts";
import { createRandom, type Random } from "./random.ts";
import {
  createEven,
  createOwnerClient,
  createTokenBus,
  createUnlimited,
  FAR_MS,
  isVisible,
  MAX_WAIT_MS,
  NEAR_MS,
  type TokenBus,
  type WarmUpPolicy,
  type WarmUpRun,
} from "./warm_up_policies.ts";

const UPSTREAMS = 63;
const RETURNING = 15;
const REGIONS = ["lagos", "abuja"];

/** Requests that one upstream runs at once, and how long each takes in ms. */
const SLOTS = 8;
const RUN_MS = 500;
const COLD_RUN_MS = 1_000;

/** Load as a share of what all upstreams run when they are warm. */
const UTILISATION = 0.9;

/** Share of the requests that any upstream serves equally well. */
const FLEXIBLE_SHARE = 0.4;

/** Upstreams that a request considers, in its own order. */
const CONSIDERED = 8;

const STEP_MS = 5;
const DURATION_MS = 6_000;

/** Hosts learn of a start up to this time later, in ms. */
const MAX_LEARNING_MS = 500;

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
