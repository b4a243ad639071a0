/**
 * Hosts with the real queue and the real view of the fleet's load before emulated
 * engines, in virtual time: prompts come at random, wait, are refused and come
 * back once. For comparing policies.
 *
 * @module
 */

import {
  getServiceTokens,
  getWorkTokens,
} from "../forwarding/pick_upstream.ts";
import type { Prompt } from "../forwarding/mod.ts";
import {
  createLoadReporter,
  createLoadView,
  type LoadReporter,
  type LoadView,
} from "../load/mod.ts";
import { createPacing, type Pacing } from "../pacing/mod.ts";
import { rankByRendezvous } from "../membership/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import { getPrefillTokens } from "../placement/mod.ts";
import {
  createPromptQueue,
  type PrefillTokens,
  type PromptQueue,
  type PromptQueueOptions,
  type PromptRefusal,
} from "../queue/mod.ts";
import {
  createEmulatedEngine,
  type EmulatedEngine,
  type EngineProfile,
} from "../testing/emulated_engine.ts";
import { createAgenda } from "./agenda.ts";
import { type DrawnPrompt, drawPrompt, promptKinds } from "./prompt_kinds.ts";
import {
  FLOOD,
  type PlayedPrompt,
  type PromptResult,
  summarise,
} from "./prompt_result.ts";
import { createRandom } from "./random.ts";

/** What is played. */
export interface PromptWorldOptions {
  readonly seed: number;
  readonly hosts: number;
  /** Load, in that of a heavy day. */
  readonly factor: number;
  /** Share of the requests that one team sends. */
  readonly floodShare: number;
  readonly queue: PromptQueueOptions;
  /** Whether hosts tell each other their load. */
  readonly isLoadShared: boolean;
  /** What an upstream may have to read at once, if it isn't learned. */
  readonly limitTokens?: number | undefined;
  /** What a prompt counts for; the program's own count where absent. */
  readonly getReading?: typeof getPrefillTokens | undefined;
  readonly engine: EngineProfile;
  /** Longest pause between two events that is on time, in ms. */
  readonly pauseTargetMs: number;
}

const ENGINES = 6;
const PLAYED_MS = 20_000;
const TICK_MS = 10;
const REPORT_MS = 100;

/** From one host to another, in ms. */
const LINK_MS = 8;

/** Tries of one request; what is refused twice is given up. */
const MAX_TRIES = 2;

/** Shortest target of a kind, in ms. */
const TIGHTEST_TARGET_MS = Math.min(
  ...promptKinds.map((kind) => kind.targetMs),
);

/** An answer without a late pause counts once in so long, in ms. */
const PAUSE_NOTE_MS = 1_000;

/** Teams besides the one that floods. */
const CALM_TEAMS = 15;

/** Tokens a second that the operators of the deployments state. */
const STATED_CAPACITY = 238_000;

interface Meant extends DrawnPrompt, PlayedPrompt {
  readonly team: string;
  readonly meantMs: number;
  /** Tokens to read where the shared part is kept, attention counted. */
  readonly ownReading: number;
  tries: number;
  isServed: boolean;
  isOnTime: boolean;
}

interface Host {
  readonly view: LoadView;
  readonly sums: LoadReporter;
  readonly queue: PromptQueue;
  readonly pacing: Pacing;
}

const SERVICE = "model";
const SERVICE_DIGEST = getNameDigest(SERVICE);

/** Plays twenty seconds. */
export function playPrompts(options: PromptWorldOptions): PromptResult {
  const { getReading = getPrefillTokens } = options;
  const random = createRandom(options.seed);
  const agenda = createAgenda();
  const { clock } = agenda;
  const nowMs = clock.monotonicMs;
  const engines = new Map<string, EmulatedEngine>();
  for (let at = 0; at < ENGINES; at++) {
    engines.set(`engine-${at}`, createEmulatedEngine(options.engine));
  }
  const engineIds = [...engines.keys()];
  const peers = Array.from({ length: options.hosts }, (_, at) => ({
    peerAddress: `host-${at}`,
    dataCentre: "one",
  }));
  const hosts: Host[] = peers.map((self) => {
    const view = createLoadView({
      clock,
      getDigest: getNameDigest,
      isAlive: () => true,
      getStatedCapacity: () => STATED_CAPACITY,
      getLearned: () => [{ ...pacing.getStats(), service: SERVICE_DIGEST }],
    });
    const pacing: Pacing = createPacing({
      nowMs,
      getRemoteStats: () => view.getOthersLearned(SERVICE),
      onChanged: () => {},
    });
    const sums = createLoadReporter({
      clock,
      self,
      getHosts: () => peers,
      getDigest: getNameDigest,
      createOwnContent: view.createOwnContent,
      onOthersLoad: view.receive,
    });
    return { view, sums, pacing, queue: createQueue(view, pacing) };
  });
  const meant: Meant[] = [];

  /** The world moves by whole milliseconds. */
  function runAt(atMs: number, run: () => void): void {
    agenda.after(Math.ceil(atMs) - nowMs(), run);
  }

  function createQueue(view: LoadView, pacing: Pacing): PromptQueue {
    return createPromptQueue({
      nowMs,
      getLoad: (engine) => ({
        slots: options.engine.slots,
        inFlight: view.getInFlight(engine),
        readingTokens: view.getReadingTokens(engine),
        underservedElsewhere: view.getUnderservedElsewhere(engine),
      }),
      getShareUsed: view.getShareUsed,
      isOverserved: view.isOverserved,
      isUnderserved: view.isUnderserved,
      onUnderservedWaiting: view.setUnderserved,
      getMeanEfficiency: view.getMeanEfficiency,
      getLimitTokens: () =>
        options.limitTokens ?? pacing.getLimitTokens(TIGHTEST_TARGET_MS),
      random,
      onStart(prompt, engine, readingTokens) {
        view.beginPrefill(engine, readingTokens);
        view.beginRequest(engine);
        view.recordBegun(prompt.team, prompt.serviceTokens);
      },
    }, options.queue);
  }

  function arrive(drawn: DrawnPrompt): void {
    const { kind, ownTokens } = drawn;
    const isFlood = random() < options.floodShare;
    const req: Meant = {
      ...drawn,
      team: isFlood ? FLOOD : `team-${Math.floor(random() * CALM_TEAMS)}`,
      meantMs: nowMs(),
      ownReading: getReading(ownTokens, kind.sharedTokens),
      tries: 0,
      isServed: false,
      isOnTime: false,
    };
    meant.push(req);
    send(req);
  }

  function send(req: Meant): void {
    req.tries++;
    const { kind, ownReading } = req;
    const host = hosts[Math.floor(random() * hosts.length)]!;
    const { view, queue } = host;
    const prompt = toPrompt(req);
    const size = getServiceTokens(prompt);
    const workTokens = getWorkTokens(prompt);
    view.recordAsked(req.team, size);
    view.recordWork(size, workTokens);
    const early = queue.tryRefuseEarly({
      team: req.team,
      route: kind.name,
      targetMs: kind.targetMs,
    });
    if (early !== undefined) return comeBack(req, early);
    const wholeReading = getReading(prompt.promptTokens, 0);
    const choices = rankByRendezvous(req.part, engineIds)
      .map((upstream, at) => ({
        upstream,
        readingTokens: at === 0 ? ownReading : wholeReading,
      }));
    queue.add({
      request: `request-${meant.length}`,
      team: req.team,
      arrivedMs: nowMs(),
      targetMs: kind.targetMs,
      service: SERVICE,
      route: kind.name,
      serviceTokens: size,
      workTokens,
      getUpstreams: () => choices,
      isCallerConnected: () => true,
      start: (engine, reading) => run(req, host, engine, reading),
      refuse: (refusal) => comeBack(req, refusal),
    });
  }

  function comeBack(req: Meant, { retryAfterMs }: PromptRefusal): void {
    if (req.tries >= MAX_TRIES) return;
    runAt(nowMs() + retryAfterMs, () => send(req));
  }

  function run(
    req: Meant,
    { view, pacing }: Host,
    engine: string,
    { readingTokens, queuedTokens }: PrefillTokens,
  ): void {
    const { kind } = req;
    const startedMs = nowMs();
    let notedMs = startedMs;
    let isPauseLate = false;

    function notePause(pauseMs: number, atMs: number): void {
      if (isPauseLate) return;
      isPauseLate = pauseMs > options.pauseTargetMs;
      if (!isPauseLate && atMs - notedMs < PAUSE_NOTE_MS) return;
      notedMs = atMs;
      pacing.recordPause(isPauseLate);
    }

    let lastMs: number | undefined;
    let isOnTime = true;
    engines.get(engine)!.add({
      sharedPrefix: req.part,
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
        } else notePause(atMs - lastMs, atMs);
        const limitMs = lastMs === undefined
          ? kind.targetMs
          : options.pauseTargetMs;
        if (atMs - (lastMs ?? req.meantMs) > limitMs) isOnTime = false;
        lastMs = atMs;
      },
      onEnd(atMs) {
        runAt(atMs + LINK_MS, () => view.endRequest(engine));
        req.isServed = true;
        req.isOnTime = isOnTime;
      },
    });
  }

  function report(from: Host): void {
    for (const { to, report: told } of from.sums.createReports()) {
      const receivers = hosts.filter((_, at) =>
        to.includes(peers[at]!.peerAddress)
      );
      runAt(nowMs() + LINK_MS, () => {
        for (const each of receivers) each.sums.receive(told);
      });
    }
  }

  for (; nowMs() < PLAYED_MS; clock.advance(1)) {
    for (const kind of promptKinds) {
      const isDue = random() * 1_000 < kind.perSecond * options.factor;
      if (isDue) arrive(drawPrompt(kind, random));
    }
    agenda.runUntil(nowMs());
    hosts.forEach((host, at) => {
      const isReportDue = (nowMs() + at * 13) % REPORT_MS === 0;
      if (options.isLoadShared && isReportDue) report(host);
      if ((nowMs() + at) % TICK_MS === 0) host.queue.tick();
    });
    for (const engine of engines.values()) engine.advance(nowMs());
  }
  return summarise(meant);
}

function toPrompt(drawn: DrawnPrompt): Prompt {
  const { kind, part, ownTokens, outputTokens } = drawn;
  return {
    model: "model",
    promptTokens: kind.sharedTokens + ownTokens,
    maxOutputTokens: outputTokens,
    parts: [
      { id: part, tokens: kind.sharedTokens },
      { id: "own", tokens: ownTokens },
    ],
  };
}
