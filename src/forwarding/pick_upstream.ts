/**
 * Waits until a request may go to an upstream, and gives that upstream.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { UpstreamEntry } from "../discovery/mod.ts";
import {
  FREE_TOKENS,
  getAffinityKey,
  getReadingTokens,
  putNearFirst,
  rankByAffinity,
  rankByLoad,
} from "../placement/mod.ts";
import type { Choice, PromptRefusal, WaitingPrompt } from "../queue/mod.ts";
import { hasDisconnected } from "../requests/caller.ts";
import { type Call, type ForwardHost, getLeftMs } from "./call.ts";
import { createNotRun, Rejected } from "./replies.ts";
import { getRestRetryMs } from "./retry_after.ts";
import type { Prompt } from "./types.ts";

/** An upstream that a request may be sent to. */
export interface Picked {
  readonly upstream: UpstreamEntry;
  /** Tokens that count as being read there, attention counted. */
  readonly readingTokens: number | undefined;
  /** What it has to read before the first event, this prompt included. */
  readonly queuedTokens: number | undefined;
}

/**
 * With no upstream ready the caller comes back after so long, in ms: one that
 * starts needs a second or two, and the platform's news a second.
 */
const NO_UPSTREAM_RETRY_MS = 1_000;

/**
 * Choices are worked out anew after so long, in ms: before 60 upstreams that
 * takes a tenth of a millisecond for each waiting prompt, a hundred times a
 * second. A change of the upstreams counts at once.
 */
const CHOICES_KEEP_MS = 100;

/** Picks, after a wait for prompts; interrupting it leaves the queue. */
export function pickUpstream(
  host: ForwardHost,
  call: Call,
): Effect.Effect<Picked, Rejected> {
  const { prompt } = call.headers;
  if (!call.route.hasPrompts || prompt === undefined) {
    return Effect.suspend(() => pickPlain(host, call));
  }
  return waitInQueue(host, call, prompt);
}

/**
 * Upstreams that may get the request: none that rests, and the failing ones left
 * out while there are others.
 */
export function getCandidates(
  host: ForwardHost,
  call: Call,
): readonly UpstreamEntry[] {
  const ready = host.directory.getReady(call.service);
  const untried = ready.filter((each) => !call.progress.tried.has(each.id));
  const open = host.rests.filterOpen(untried, host.health.getInFlight);
  return host.health.filterSound(open);
}

function pickPlain(
  host: ForwardHost,
  call: Call,
): Effect.Effect<Picked, Rejected> {
  const candidates = getCandidates(host, call);
  const [first] = rankByLoad(candidates.map((each) => ({
    id: each.id,
    slots: each.slots,
    inFlight: host.health.getInFlight(each.id),
    distance: host.getDistance(each.dataCentre),
  })));
  const upstream = candidates.find((each) => each.id === first);
  if (upstream === undefined) {
    return Effect.fail(createNoUpstream(host, call));
  }
  return Effect.succeed({
    upstream,
    readingTokens: undefined,
    queuedTokens: undefined,
  });
}

function waitInQueue(
  host: ForwardHost,
  call: Call,
  prompt: Prompt,
): Effect.Effect<Picked, Rejected> {
  const size = getSize(prompt);
  const workTokens = getWorkTokens(prompt);
  noteAsked(host, call.team ?? "", prompt);
  return Effect.callback<Picked, Rejected>((resume) => {
    const queuedAtMs = host.clock.monotonicMs();
    call.progress.queuedAtMs = queuedAtMs;
    const waiting: WaitingPrompt = {
      request: call.headers.requestId,
      team: call.team ?? "",
      arrivedMs: queuedAtMs,
      targetMs: Math.min(call.route.targetMs, getLeftMs(host, call)),
      service: call.service,
      route: call.route.name,
      size,
      workTokens,
      getChoices: keepChoices(host, call, prompt),
      isWanted: () => !hasDisconnected(call.res),
      start(id, { readingTokens, queuedTokens }) {
        const upstream = host.directory.getReady(call.service)
          .find((each) => each.id === id)!;
        let isReading = true;
        call.progress.endReading = () => {
          if (isReading) host.load.endReading(id, readingTokens);
          isReading = false;
        };
        resume(Effect.succeed({ upstream, readingTokens, queuedTokens }));
      },
      refuse: (refusal) => resume(Effect.fail(toRejected(host, call, refusal))),
    };
    host.queue.add(waiting);
    return Effect.sync(() => void host.queue.remove(waiting));
  });
}

/** Counts a prompt in what its team asks for, however it ends. */
export function noteAsked(
  host: ForwardHost,
  team: string,
  prompt: Prompt,
): void {
  const size = getSize(prompt);
  host.load.noteAsked(team, size);
  host.load.noteWork(size, getWorkTokens(prompt));
}

/** Works the choices out anew after a while, and when upstreams change. */
function keepChoices(
  host: ForwardHost,
  call: Call,
  prompt: Prompt,
): () => readonly Choice[] {
  let choices: readonly Choice[] = [];
  let ready: readonly UpstreamEntry[] | undefined;
  let atMs = -Infinity;
  return () => {
    const nowMs = host.clock.monotonicMs();
    const nowReady = host.directory.getReady(call.service);
    if (nowReady !== ready || nowMs - atMs > CHOICES_KEEP_MS) {
      choices = getChoices(host, call, prompt);
      ready = nowReady;
      atMs = nowMs;
    }
    return choices;
  };
}

/** Upstreams in the order of the prompt's affinity, with what each has to read. */
function getChoices(
  host: ForwardHost,
  call: Call,
  prompt: Prompt,
): readonly Choice[] {
  const key = getAffinityKey(prompt.model, prompt.parts);
  const candidates = getCandidates(host, call);
  const ranked = rankByAffinity(key, candidates);
  // All hosts send a shared part to the same upstream, which therefore has it
  // but for the first time.
  const ownTokens = getOwnTokens(prompt);
  const wholeTokens = getReadingTokens(prompt.promptTokens, 0);
  // With little to share each region may as well keep its own copy: most of what
  // crosses the link between regions are answers, event by event.
  const isSmall = wholeTokens - ownTokens <= FREE_TOKENS;
  const ordered = isSmall
    ? putNearFirst(ranked, getIsNear(host, candidates))
    : ranked;
  return ordered.map((upstream, at) => ({
    upstream,
    readingTokens: at === 0 ? ownTokens : wholeTokens,
  }));
}

/** Tells of each candidate's id whether it is in this host's region. */
function getIsNear(
  host: ForwardHost,
  candidates: readonly UpstreamEntry[],
): (id: string) => boolean {
  const near = new Set(
    candidates
      .filter((each) => host.getDistance(each.dataCentre) !== "other-region")
      .map((each) => each.id),
  );
  return (id) => near.has(id);
}

/** Service of a request: each token read once, each generated twice. */
export function getSize(prompt: Prompt): number {
  return prompt.promptTokens + 2 * prompt.maxOutputTokens;
}

/**
 * A generated token takes about as much of an upstream as so many that are read:
 * a step makes one token of each answer, and reads hundreds in the same time.
 */
const GENERATED_AS_READ = 140;

/** What an upstream does for a prompt whose shared parts it keeps, in tokens. */
export function getWorkTokens(prompt: Prompt): number {
  return getOwnTokens(prompt) + prompt.maxOutputTokens * GENERATED_AS_READ;
}

/** To read the last part, which is the request's own, in tokens. */
function getOwnTokens(prompt: Prompt): number {
  const ownTokens = prompt.parts.at(-1)?.tokens ?? prompt.promptTokens;
  return getReadingTokens(ownTokens, prompt.promptTokens - ownTokens);
}

function toRejected(
  host: ForwardHost,
  call: Call,
  refusal: PromptRefusal,
): Rejected {
  if (refusal.reason === "no-upstream") return createNoUpstream(host, call);
  return toBusy(refusal);
}

/** The answer to a prompt that the queue refuses. */
export function toBusy(refusal: PromptRefusal): Rejected {
  return new Rejected({
    status: 503,
    reason: "Upstreams are busy past the time in which the answer is on time",
    retryAfterMs: refusal.retryAfterMs,
    queue: refusal.inputs,
  });
}

/** The answer to a request that no upstream takes now, which has not run. */
export function createNoUpstream(host: ForwardHost, call: Call): Rejected {
  const ready = host.directory.getReady(call.service);
  const restMs = Math.min(...ready.map(host.rests.getLeftMs));
  if (restMs > 0 && restMs < Infinity) {
    const reason = `All upstreams of "${call.service}" have asked for a rest`;
    return createNotRun(reason, getRestRetryMs(restMs, host.random()));
  }
  const tried = call.progress.tried.size;
  const reason = tried === 0
    ? `No upstream of "${call.service}" is ready`
    : `All ready upstreams of "${call.service}" have failed the request`;
  return createNotRun(reason, NO_UPSTREAM_RETRY_MS);
}
