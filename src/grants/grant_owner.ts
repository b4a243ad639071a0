/**
 * Admits the prompts of all hosts to the upstreams that this host owns, one
 * after the other, so that each prefills without a break and never has more
 * than a tenth of a second of work ahead.
 *
 * Load: several times more prompts than the upstreams can prefill.
 *
 * Failure prevented: load reports are 200 ms old, and the end of a prefill is
 * seen 200 ms late, while a prefill takes 100 ms. Hosts that decide by these
 * leave an upstream idle or start several prompts there at once.
 *
 * The owner does not observe the upstream. It computes when the prefill of all
 * admitted prompts ends, from their tokens and the learned speed.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import {
  createDecayingRate,
  type DecayingRate,
  SERVICE_HALF_LIFE_MS,
} from "../load/mod.ts";
import type {
  GrantRequest,
  OwnerItem,
  RequesterItem,
  UngrantedStart,
} from "./types.ts";

/** The process that asks, by its peer address and its session. */
export interface Requester {
  readonly address: string;
  readonly session: number;
}

/** An upstream as its owner knows it. */
export interface OwnedUpstream {
  readonly slots: number;
  /** Learned time to prefill one token there, in ms. */
  readonly msPerToken: number;
  /** Requests in flight there, by the load view. */
  readonly inFlight: number;
  /** Tokens being prefilled there, by the load view. */
  readonly readingTokens: number;
  /** Learned limit on the tokens being prefilled there. */
  readonly limitTokens: number;
}

/** Dependencies of the owner. */
export interface GrantOwnerHost {
  nowMs(): number;
  /** Share of an upstream's slots that may be in use when a prompt starts. */
  getSlotShare(terms: Pick<GrantRequest, "yields" | "team">): number;
  /** Returns the upstream with this digest; `undefined` if it is unknown. */
  tryGetUpstream(digest: number): OwnedUpstream | undefined;
  /**
   * Recent service of the team over all hosts as the load view knows it, with
   * the team's credit, in tokens per second.
   */
  getServiceLevel(team: number): number;
  send(to: Requester, item: OwnerItem): void;
}

/** The grants of this host as an owner. */
export interface GrantOwner {
  receive(from: Requester, items: readonly RequesterItem[]): void;
  /** Grants what is due by now; called a hundred times per second. */
  tick(): void;
  /** Number of requests that wait. */
  countWaiting(): number;
  /** When the admitted prefill at the upstream is expected to end, in ms. */
  tryGetEndMs(upstream: number): number | undefined;
}

/**
 * A request is granted while the expected end of the prefill is less than this
 * far ahead, in ms. The grant and the prompt reach the upstream within that
 * time, so that it does not idle meanwhile.
 */
export const MAX_PREFILL_AHEAD_MS = 100;

/**
 * Time after which a granted prompt is part of the load view, in ms: three hops
 * of load reports.
 */
const LOAD_VIEW_LAG_MS = 300;

/**
 * Nothing is granted while the load view shows more than this multiple of the
 * learned limit. It counts a prompt until its first event, about twice as long
 * as its prefill takes. More shows that the upstream is slower than learned or
 * that its responses pause too long, and its queue would grow without end.
 */
const MAX_LIMIT_MULTIPLE = 2;

/** Time for which a grant can be returned, in ms. */
const RETURN_TTL_MS = 1_000;

/**
 * Time after which an upstream that nobody has requested is dropped, in ms.
 * Another host may have owned it meanwhile; the load view then knows more.
 */
const UPSTREAM_TTL_MS = 1_000;

/**
 * Weight of a token admitted here until the load view includes it: that of a
 * token in the view, whose rates decay more slowly.
 */
const RECENT_WEIGHT = LOAD_VIEW_LAG_MS / SERVICE_HALF_LIFE_MS;

/** Below this rate, in tokens per second, a team is dropped. */
const MIN_TEAM_RATE = 1;

interface WaitingRequest {
  readonly key: string;
  readonly from: Requester;
  readonly request: GrantRequest;
  readonly arrivedMs: number;
  readonly expiresMs: number;
}

interface Admission {
  readonly admittedMs: number;
  readonly prefillMs: number;
  readonly team: number;
  readonly serviceTokens: number;
  /** Absent for a prompt that was started without a grant. */
  readonly key?: string;
}

interface UpstreamState {
  readonly upstream: number;
  /** When the prefill of all admitted prompts is expected to end, in ms. */
  prefillEndMs: number;
  usedMs: number;
  readonly waiting: Map<string, WaitingRequest>;
  /** The latest first. */
  admissions: Admission[];
}

/** Creates an owner that has admitted nothing. */
export function createGrantOwner(host: GrantOwnerHost): GrantOwner {
  const states = new Map<number, UpstreamState>();
  /** Tokens admitted here that the load view may not include yet, by team. */
  const recent = new Map<number, DecayingRate>();
  /** The upstreams of waiting requests and of grants, by key. */
  const upstreams = new Map<string, UpstreamState>();
  let cleanedMs = host.nowMs();

  function getState(
    upstream: number,
    { readingTokens, msPerToken }: OwnedUpstream,
  ): UpstreamState {
    const nowMs = host.nowMs();
    const state = getOrCreate(states, upstream, () => ({
      upstream,
      prefillEndMs: nowMs + Math.max(0, readingTokens) * msPerToken,
      usedMs: nowMs,
      waiting: new Map(),
      admissions: [],
    }));
    state.usedMs = nowMs;
    return state;
  }

  /**
   * A team may be served much by other owners and little by this one, so that
   * what was admitted here tells nothing of who is behind.
   */
  function getServiceLevel(team: number): number {
    const recentRate = recent.get(team)?.get(host.nowMs()) ?? 0;
    return host.getServiceLevel(team) + recentRate * RECENT_WEIGHT;
  }

  function admit(
    state: UpstreamState,
    { tokens, serviceTokens, team }: UngrantedStart,
    { msPerToken, key }: { readonly msPerToken: number; readonly key?: string },
  ): void {
    const nowMs = host.nowMs();
    const prefillMs = tokens * msPerToken;
    state.prefillEndMs = Math.max(state.prefillEndMs, nowMs) + prefillMs;
    const admission = { admittedMs: nowMs, prefillMs, team, serviceTokens };
    state.admissions.unshift(
      key === undefined ? admission : { ...admission, key },
    );
    getOrCreate(recent, team, () => createDecayingRate(LOAD_VIEW_LAG_MS))
      .add(serviceTokens, nowMs);
  }

  /**
   * Bounds the expected end by the load view. Where the real speed is higher
   * than the learned one, or started prompts have failed, the end would move
   * ahead of the upstream until nothing is granted.
   */
  function limitEnd(
    state: UpstreamState,
    { readingTokens, msPerToken }: OwnedUpstream,
  ): void {
    const nowMs = host.nowMs();
    const recentMs = state.admissions
      .filter((each) => nowMs - each.admittedMs < LOAD_VIEW_LAG_MS)
      .reduce((sum, each) => sum + each.prefillMs, 0);
    const reportedMs = Math.max(0, readingTokens) * msPerToken;
    const latestMs = nowMs + reportedMs + recentMs + MAX_PREFILL_AHEAD_MS;
    state.prefillEndMs = Math.min(state.prefillEndMs, latestMs);
  }

  function countInFlight(state: UpstreamState, inFlight: number): number {
    const sinceMs = host.nowMs() - LOAD_VIEW_LAG_MS;
    const at = state.admissions.findIndex((each) => each.admittedMs < sinceMs);
    return inFlight + (at < 0 ? state.admissions.length : at);
  }

  /** Whether the request is granted before the other one. */
  function isBefore(a: WaitingRequest, b: WaitingRequest): boolean {
    const order =
      Number(a.request.isDeprioritised) - Number(b.request.isDeprioritised) ||
      a.request.yields - b.request.yields ||
      getServiceLevel(a.request.team) - getServiceLevel(b.request.team) ||
      b.arrivedMs - a.arrivedMs;
    return order < 0;
  }

  /** Returns the first of the waiting requests for which a slot is free. */
  function tryChoose(
    state: UpstreamState,
    { slots, inFlight }: OwnedUpstream,
  ): WaitingRequest | undefined {
    const used = countInFlight(state, inFlight);
    let first: WaitingRequest | undefined;
    for (const each of state.waiting.values()) {
      if (used >= slots * host.getSlotShare(each.request)) continue;
      if (first === undefined || isBefore(each, first)) first = each;
    }
    return first;
  }

  function removeEntry(state: UpstreamState, key: string): void {
    state.waiting.delete(key);
    upstreams.delete(key);
  }

  function removeExpired(state: UpstreamState): void {
    const nowMs = host.nowMs();
    for (const { key, expiresMs } of state.waiting.values()) {
      if (expiresMs <= nowMs) removeEntry(state, key);
    }
  }

  function grantDue(state: UpstreamState): void {
    removeExpired(state);
    const owned = host.tryGetUpstream(state.upstream);
    if (owned === undefined || isBehind(owned)) return;
    limitEnd(state, owned);
    while (
      state.waiting.size > 0 &&
      state.prefillEndMs - host.nowMs() < MAX_PREFILL_AHEAD_MS
    ) {
      const next = tryChoose(state, owned);
      if (next === undefined) return;
      state.usedMs = host.nowMs();
      state.waiting.delete(next.key);
      const { msPerToken } = owned;
      admit(state, next.request, { msPerToken, key: next.key });
      host.send(next.from, { kind: "grant", number: next.request.number });
    }
  }

  /** Returns the state of the upstream, if the request waits there now. */
  function addRequest(
    from: Requester,
    request: GrantRequest,
  ): UpstreamState | undefined {
    const key = getKey(from, request.number);
    const { number, ageMs, remainingMs } = request;
    const known = upstreams.get(key);
    if (known !== undefined && !known.waiting.has(key)) {
      // The answer was lost, and the request has been repeated.
      host.send(from, { kind: "grant", number });
      return undefined;
    }
    const owned = host.tryGetUpstream(request.upstream);
    // Without an answer the requester decides by itself.
    if (owned === undefined) return undefined;
    const state = getState(request.upstream, owned);
    const nowMs = host.nowMs();
    upstreams.set(key, state);
    state.waiting.set(key, {
      key,
      from,
      request,
      arrivedMs: nowMs - ageMs,
      expiresMs: nowMs + remainingMs,
    });
    return state;
  }

  function recordStart(start: UngrantedStart): void {
    const owned = host.tryGetUpstream(start.upstream);
    if (owned === undefined) return;
    admit(getState(start.upstream, owned), start, owned);
  }

  /** Removes a cancelled request, or takes a returned grant back. */
  function release(key: string): UpstreamState | undefined {
    const state = upstreams.get(key);
    if (state === undefined) return undefined;
    removeEntry(state, key);
    const at = state.admissions.findIndex((each) => each.key === key);
    if (at < 0) return undefined;
    const [{ prefillMs, team, serviceTokens }] = state.admissions.splice(
      at,
      1,
    ) as [
      Admission,
    ];
    state.prefillEndMs -= prefillMs;
    recent.get(team)?.add(-serviceTokens, host.nowMs());
    return state;
  }

  function cleanUpstream(state: UpstreamState): void {
    const nowMs = host.nowMs();
    const isKept = ({ admittedMs }: Admission) =>
      nowMs - admittedMs < RETURN_TTL_MS;
    for (const each of state.admissions) {
      if (!isKept(each) && each.key !== undefined) upstreams.delete(each.key);
    }
    state.admissions = state.admissions.filter(isKept);
    const isUsed = state.waiting.size > 0 || state.prefillEndMs > nowMs ||
      state.admissions.length > 0 || nowMs - state.usedMs < UPSTREAM_TTL_MS;
    if (!isUsed) states.delete(state.upstream);
  }

  function clean(): void {
    const nowMs = host.nowMs();
    if (nowMs - cleanedMs < RETURN_TTL_MS) return;
    cleanedMs = nowMs;
    for (const state of states.values()) cleanUpstream(state);
    for (const [team, rate] of recent) {
      if (rate.get(nowMs) < MIN_TEAM_RATE) recent.delete(team);
    }
  }

  return {
    receive(from, items) {
      const changed = new Set<UpstreamState>();
      const added: number[] = [];
      for (const item of items) {
        if (item.kind === "start") {
          recordStart(item.start);
          continue;
        }
        const state = item.kind === "request"
          ? addRequest(from, item.request)
          : release(getKey(from, item.number));
        if (state === undefined) continue;
        changed.add(state);
        if (item.kind === "request") added.push(item.request.number);
      }
      for (const state of changed) grantDue(state);
      for (const number of added) {
        const key = getKey(from, number);
        const waits = upstreams.get(key)?.waiting.has(key) ?? false;
        if (waits) host.send(from, { kind: "waiting", number });
      }
    },
    tick() {
      for (const state of states.values()) {
        if (state.waiting.size > 0) grantDue(state);
      }
      clean();
    },
    countWaiting() {
      let waiting = 0;
      for (const state of states.values()) waiting += state.waiting.size;
      return waiting;
    },
    tryGetEndMs: (upstream) => states.get(upstream)?.prefillEndMs,
  };
}

/** Whether the upstream prefills more slowly than learned. */
function isBehind({ readingTokens, limitTokens }: OwnedUpstream): boolean {
  return readingTokens > limitTokens * MAX_LIMIT_MULTIPLE;
}

function getKey({ address, session }: Requester, number: number): string {
  return `${address}/${session}/${number}`;
}
