/**
 * Simulation of hosts and emulated engines in virtual time, for the comparison
 * of queue policies. Each host runs the real prompt queue, pacing and load
 * view. Prompts arrive at random; callers retry a refused prompt once.
 *
 * @module
 */

import {
  getServiceTokens,
  getWorkTokens,
} from "../forwarding/prompt_tokens.ts";
import type { Prompt } from "../forwarding/mod.ts";
import { rankByRendezvous } from "../membership/mod.ts";
import { getPrefillTokens } from "../placement/mod.ts";
import type {
  PrefillTokens,
  PromptQueueOptions,
  PromptRefusal,
} from "../queue/mod.ts";
import {
  createEmulatedEngine,
  type EmulatedEngine,
  type EngineProfile,
} from "../testing/emulated_engine.ts";
import { createVirtualScheduler } from "./virtual_scheduler.ts";
import { type DrawnPrompt, drawPrompt, promptKinds } from "./prompt_kinds.ts";
import {
  OVERLOADING_TEAM,
  type PromptResult,
  type SimulatedPrompt,
  summarise,
} from "./prompt_result.ts";
import { createRandom } from "./random.ts";
import {
  createSimulatedHost,
  createSimulatedPeers,
  SIMULATED_SERVICE,
  type SimulatedHost,
} from "./simulated_host.ts";

/** Options of a simulation. */
export interface PromptSimulationOptions {
  readonly seed: number;
  readonly hosts: number;
  /** Load, relative to a heavy day. */
  readonly factor: number;
  /** Share of the prompts that one team sends. */
  readonly overloadingTeamShare: number;
  readonly queue: PromptQueueOptions;
  /** Whether hosts report their load to each other. */
  readonly isLoadShared: boolean;
  /** Fixed prefill limit of an upstream; learned if absent. */
  readonly limitTokens?: number | undefined;
  /** Weight of a prompt in the prefill limit; the router's count if absent. */
  readonly countPrefillTokens?: typeof getPrefillTokens | undefined;
  readonly engine: EngineProfile;
  /** Target for the pauses between two events of an answer, in ms. */
  readonly pauseTargetMs: number;
}

const ENGINES = 6;
const SIMULATED_MS = 20_000;
/** Period of a host's scheduling passes. */
const TICK_MS = 10;
/** Period of a host's load reports. */
const REPORT_MS = 100;

/** Delay of a message between a host and an engine or another host, in ms. */
const LINK_MS = 8;

/** Attempts of a prompt; callers do not retry after the second refusal. */
const MAX_ATTEMPTS = 2;

/** Shortest target of all kinds for the first event, in ms. */
const TIGHTEST_TARGET_MS = Math.min(
  ...promptKinds.map((kind) => kind.targetMs),
);

/**
 * Period in which an answer without a late pause gives one sample to the
 * pacing, in ms. The first late pause of an answer gives a sample at once.
 */
const PAUSE_SAMPLE_MS = 1_000;

/** Number of teams other than the overloading one. */
const OTHER_TEAMS = 15;

/** Tokens per second of the engines, as operators state them. */
const STATED_CAPACITY = 238_000;

interface SimulatedRequest extends DrawnPrompt, SimulatedPrompt {
  readonly team: string;
  /** Time of the first attempt, from which delays are measured. */
  readonly intendedMs: number;
  /** Prefill tokens at an engine that has cached the shared prefix. */
  readonly cachedPrefillTokens: number;
  attempts: number;
  isServed: boolean;
  isOnTime: boolean;
}

/** Simulates twenty seconds. */
export function simulatePrompts(
  options: PromptSimulationOptions,
): PromptResult {
  const { countPrefillTokens = getPrefillTokens } = options;
  const random = createRandom(options.seed);
  const scheduler = createVirtualScheduler();
  const { clock } = scheduler;
  const nowMs = clock.monotonicMs;
  const engines = new Map<string, EmulatedEngine>();
  for (let at = 0; at < ENGINES; at++) {
    engines.set(`engine-${at}`, createEmulatedEngine(options.engine));
  }
  const engineIds = [...engines.keys()];
  const peers = createSimulatedPeers(options.hosts);
  const hosts = peers.map((self) =>
    createSimulatedHost({
      clock,
      random,
      self,
      peers,
      slots: options.engine.slots,
      statedCapacity: STATED_CAPACITY,
      targetMs: TIGHTEST_TARGET_MS,
      limitTokens: options.limitTokens,
      queue: options.queue,
      onStart: (view, engine) => view.beginRequest(engine),
    })
  );
  const requests: SimulatedRequest[] = [];

  /** Schedules the callback, rounded up to the simulation's step of 1 ms. */
  function runAt(atMs: number, run: () => void): void {
    scheduler.after(Math.ceil(atMs) - nowMs(), run);
  }

  function arrive(drawn: DrawnPrompt): void {
    const { kind, ownTokens } = drawn;
    const isOverloading = random() < options.overloadingTeamShare;
    const req: SimulatedRequest = {
      ...drawn,
      team: isOverloading
        ? OVERLOADING_TEAM
        : `team-${Math.floor(random() * OTHER_TEAMS)}`,
      intendedMs: nowMs(),
      cachedPrefillTokens: countPrefillTokens(ownTokens, kind.sharedTokens),
      attempts: 0,
      isServed: false,
      isOnTime: false,
    };
    requests.push(req);
    send(req);
  }

  function send(req: SimulatedRequest): void {
    req.attempts++;
    const { kind, cachedPrefillTokens } = req;
    const host = hosts[Math.floor(random() * hosts.length)]!;
    const { view, queue } = host;
    const prompt = toPrompt(req);
    const size = getServiceTokens(prompt);
    const workTokens = getWorkTokens(prompt);
    view.recordAsked(req.team, size);
    view.recordWork(size, workTokens);
    const earlyRefusal = queue.tryRefuseEarly({
      team: req.team,
      route: kind.name,
      targetMs: kind.targetMs,
    });
    if (earlyRefusal !== undefined) return retryLater(req, earlyRefusal);
    const uncachedPrefillTokens = countPrefillTokens(prompt.promptTokens, 0);
    const rankedUpstreams = rankByRendezvous(req.sharedPrefix, engineIds)
      .map((upstream, at) => ({
        upstream,
        readingTokens: at === 0 ? cachedPrefillTokens : uncachedPrefillTokens,
      }));
    queue.add({
      request: `request-${requests.length}`,
      team: req.team,
      arrivedMs: nowMs(),
      targetMs: kind.targetMs,
      service: SIMULATED_SERVICE,
      route: kind.name,
      serviceTokens: size,
      workTokens,
      isBegun: false,
      isRepeated: false,
      getUpstreams: () => rankedUpstreams,
      isCallerConnected: () => true,
      start: (engine, reading) => run(req, host, engine, reading),
      refuse: (refusal) => retryLater(req, refusal),
    });
  }

  function retryLater(
    req: SimulatedRequest,
    { retryAfterMs }: PromptRefusal,
  ): void {
    if (req.attempts >= MAX_ATTEMPTS) return;
    runAt(nowMs() + retryAfterMs, () => send(req));
  }

  function run(
    req: SimulatedRequest,
    { view, pacing }: SimulatedHost,
    engine: string,
    { readingTokens, queuedTokens }: PrefillTokens,
  ): void {
    const { kind } = req;
    const startedMs = nowMs();
    let sampledMs = startedMs;
    let isPauseLate = false;

    function samplePause(pauseMs: number, atMs: number): void {
      if (isPauseLate) return;
      isPauseLate = pauseMs > options.pauseTargetMs;
      if (!isPauseLate && atMs - sampledMs < PAUSE_SAMPLE_MS) return;
      sampledMs = atMs;
      pacing.recordPause(isPauseLate);
    }

    let lastMs: number | undefined;
    let isOnTime = true;
    engines.get(engine)!.add({
      sharedPrefix: req.sharedPrefix,
      prefixTokens: kind.sharedTokens,
      suffixTokens: req.ownTokens,
      outputTokens: req.outputTokens,
      onPrefilled: () => {},
      onEvent(atMs) {
        if (lastMs === undefined) {
          runAt(atMs + LINK_MS, () => {
            view.endPrefill(engine, readingTokens);
            pacing.recordFirstEvent(queuedTokens, nowMs() - startedMs);
          });
        } else samplePause(atMs - lastMs, atMs);
        const targetMs = lastMs === undefined
          ? kind.targetMs
          : options.pauseTargetMs;
        if (atMs - (lastMs ?? req.intendedMs) > targetMs) isOnTime = false;
        lastMs = atMs;
      },
      onEnd(atMs) {
        runAt(atMs + LINK_MS, () => view.endRequest(engine));
        req.isServed = true;
        req.isOnTime = isOnTime;
      },
    });
  }

  function report(from: SimulatedHost): void {
    for (
      const { to, report: loadReport } of from.reporter.createReports()
    ) {
      const receivers = hosts.filter((_, at) =>
        to.includes(peers[at]!.peerAddress)
      );
      runAt(nowMs() + LINK_MS, () => {
        for (const each of receivers) each.reporter.receive(loadReport);
      });
    }
  }

  for (; nowMs() < SIMULATED_MS; clock.advance(1)) {
    for (const kind of promptKinds) {
      const isDue = random() * 1_000 < kind.perSecond * options.factor;
      if (isDue) arrive(drawPrompt(kind, random));
    }
    scheduler.runUntil(nowMs());
    hosts.forEach((host, at) => {
      const isReportDue = (nowMs() + at * 13) % REPORT_MS === 0;
      if (options.isLoadShared && isReportDue) report(host);
      if ((nowMs() + at) % TICK_MS === 0) host.queue.tick();
    });
    for (const engine of engines.values()) engine.advance(nowMs());
  }
  return summarise(requests);
}

function toPrompt(drawn: DrawnPrompt): Prompt {
  const { kind, sharedPrefix, ownTokens, outputTokens } = drawn;
  return {
    model: "model",
    promptTokens: kind.sharedTokens + ownTokens,
    maxOutputTokens: outputTokens,
    parts: [
      { id: sharedPrefix, tokens: kind.sharedTokens },
      { id: "own", tokens: ownTokens },
    ],
  };
}
