/**
 * Asks the owners of upstreams for grants to start the waiting prompts of this
 * host.
 *
 * Failures prevented:
 * - A prompt that waits for one upstream only is refused while another one that
 *   holds its prefix has room. Without a grant, the next owner is asked as well.
 * - A grant for a prompt that has started elsewhere, or was refused, leaves the
 *   upstream idle. It is returned.
 * - Prompts wait for an owner that has stopped. An owner that does not answer
 *   for a tenth of a second is not asked for a second, in which the host decides
 *   by its own rules.
 *
 * @module
 */

import { dropOldest } from "../core/mod.ts";
import type {
  GrantTerms,
  PromptGrants,
  RankedUpstream,
  WaitingPrompt,
} from "../queue/types.ts";
import type { OwnerItem, RequesterItem } from "./types.ts";

/** How a request for a grant ended. */
export type GrantOutcome = "granted" | "expired" | "cancelled" | "unavailable";

/** Dependencies of the client. */
export interface GrantClientHost {
  nowMs(): number;
  isEnabled(): boolean;
  /** Returns the peer address of the upstream's owner. */
  tryGetOwner(upstream: string): string | undefined;
  /** Returns the digest of the upstream's id and incarnation. */
  tryGetUpstreamDigest(upstream: string): number | undefined;
  getDigest(name: string): number;
  send(to: string, item: RequesterItem): void;
  /**
   * Starts a granted prompt; false if it no longer waits, or can no longer use
   * the upstream. `grantMs` is the time since its first request.
   */
  start(prompt: WaitingPrompt, upstream: string, grantMs: number): boolean;
  onEnded(outcome: GrantOutcome): void;
}

/** The requests of this host. */
export interface GrantClient extends PromptGrants {
  receive(owner: string, items: readonly OwnerItem[]): void;
  /** Finds owners that do not answer or have changed; called periodically. */
  tick(): void;
}

/**
 * Time without a grant after which the next owner is asked as well, in ms: about
 * the prefill of one prompt.
 */
const NEXT_OWNER_MS = 100;

/** Owners asked for one prompt, apart from that of an idle upstream. */
const MAX_OWNERS = 3;

/** Time within which an owner answers, in ms. */
const ANSWER_TIMEOUT_MS = 100;

/**
 * Time after which an answered request is sent again, in ms. The grant may be
 * lost, and an owner that has restarted does not know the request any more.
 */
const REPEAT_MS = 150;

/** Time for which an upstream whose owner does not answer is not asked for. */
const UNAVAILABLE_MS = 1_000;

/** Number of used grants that are kept: those of the last seconds. */
const MAX_USED = 1_000;

interface PendingRequest {
  number: number;
  owner: string;
  sentMs: number;
  isAnswered: boolean;
  /** Whether it was sent again since the owner's latest answer to it. */
  isRepeated: boolean;
  readonly requests: PromptRequests;
  readonly upstream: string;
  readonly terms: GrantTerms;
  readonly tokens: number;
}

/** The requests for one prompt. */
interface PromptRequests {
  readonly prompt: WaitingPrompt;
  readonly firstRequestMs: number;
  lastRequestMs: number;
  /** Upstreams that were asked for and may still be granted. */
  readonly asked: Set<string>;
  hasRequestedIdle: boolean;
  readonly open: Set<PendingRequest>;
}

/** Creates a client without requests. */
export function createGrantClient(host: GrantClientHost): GrantClient {
  const requestsByPrompt = new Map<WaitingPrompt, PromptRequests>();
  const requestsByNumber = new Map<number, PendingRequest>();
  const answeredMs = new Map<string, number>();
  /**
   * Grants that were used. A repeated request can bring one twice, and the
   * second must not be returned.
   */
  const used = new Set<number>();
  const unavailableUntilMs = new Map<string, number>();
  let lastNumber = 0;

  function needsGrant(upstream: string): boolean {
    if (host.nowMs() < (unavailableUntilMs.get(upstream) ?? -Infinity)) {
      return false;
    }
    return host.tryGetOwner(upstream) !== undefined &&
      host.tryGetUpstreamDigest(upstream) !== undefined;
  }

  function send(pending: PendingRequest): void {
    const { prompt } = pending.requests;
    const nowMs = host.nowMs();
    pending.sentMs = nowMs;
    pending.isAnswered = false;
    const ageMs = nowMs - prompt.arrivedMs;
    host.send(pending.owner, {
      kind: "request",
      request: {
        number: pending.number,
        tokens: Math.round(pending.tokens),
        serviceTokens: Math.round(prompt.serviceTokens),
        upstream: host.tryGetUpstreamDigest(pending.upstream) ?? 0,
        team: host.getDigest(prompt.team),
        yields: pending.terms.yields,
        isDeprioritised: pending.terms.isDeprioritised,
        ageMs: Math.max(0, Math.round(ageMs)),
        remainingMs: Math.max(0, Math.round(pending.terms.maxWaitMs - ageMs)),
      },
    });
  }

  function createPromptRequests(prompt: WaitingPrompt): PromptRequests {
    const nowMs = host.nowMs();
    const requests = {
      prompt,
      firstRequestMs: nowMs,
      lastRequestMs: nowMs,
      asked: new Set<string>(),
      hasRequestedIdle: false,
      open: new Set<PendingRequest>(),
    };
    requestsByPrompt.set(prompt, requests);
    return requests;
  }

  function sendRequest(
    requests: PromptRequests,
    { upstream, readingTokens }: RankedUpstream,
    terms: GrantTerms,
  ): void {
    const pending: PendingRequest = {
      number: ++lastNumber,
      owner: host.tryGetOwner(upstream)!,
      sentMs: 0,
      isAnswered: false,
      isRepeated: false,
      requests,
      upstream,
      terms,
      tokens: readingTokens,
    };
    requests.asked.add(upstream);
    requests.open.add(pending);
    requestsByNumber.set(pending.number, pending);
    send(pending);
  }

  function remove(pending: PendingRequest, outcome: GrantOutcome): void {
    requestsByNumber.delete(pending.number);
    pending.requests.open.delete(pending);
    host.onEnded(outcome);
  }

  function release({ owner, number }: PendingRequest): void {
    host.send(owner, { kind: "release", number });
  }

  function end(prompt: WaitingPrompt, outcome: "expired" | "cancelled"): void {
    const requests = requestsByPrompt.get(prompt);
    if (requests === undefined) return;
    requestsByPrompt.delete(prompt);
    for (const pending of requests.open) {
      release(pending);
      remove(pending, outcome);
    }
  }

  /** Starts the prompt; false if the grant has to be returned. */
  function useGrant(owner: string, number: number): boolean {
    const pending = requestsByNumber.get(number);
    if (pending === undefined || pending.owner !== owner) return false;
    const { prompt, firstRequestMs, open } = pending.requests;
    // The start cancels the other requests, but not this one.
    open.delete(pending);
    const isStarted = host.start(
      prompt,
      pending.upstream,
      host.nowMs() - firstRequestMs,
    );
    if (isStarted) {
      used.add(number);
      dropOldest(used, MAX_USED);
    }
    pending.requests.asked.delete(pending.upstream);
    remove(pending, isStarted ? "granted" : "cancelled");
    return isStarted;
  }

  /** The host decides about the upstream by its own rules for a while. */
  function markUnavailable(upstream: string): void {
    const untilMs = host.nowMs() + UNAVAILABLE_MS;
    unavailableUntilMs.set(upstream, untilMs);
    for (const pending of [...requestsByNumber.values()]) {
      if (pending.upstream !== upstream) continue;
      release(pending);
      pending.requests.asked.delete(upstream);
      remove(pending, "unavailable");
    }
  }

  function checkAnswer(pending: PendingRequest): void {
    const sinceMs = host.nowMs() - pending.sentMs;
    if (pending.isAnswered) {
      if (sinceMs >= REPEAT_MS) send(pending);
      return;
    }
    if (sinceMs < ANSWER_TIMEOUT_MS) return;
    const hasAnswered =
      (answeredMs.get(pending.owner) ?? -Infinity) >= pending.sentMs;
    // A single datagram was lost if the owner has answered others. An owner that
    // does not know the upstream never answers.
    if (!hasAnswered || pending.isRepeated) {
      return markUnavailable(pending.upstream);
    }
    pending.isRepeated = true;
    send(pending);
  }

  /** Asks the new owner after a change of the hosts. */
  function checkOwner(pending: PendingRequest): void {
    const owner = host.tryGetOwner(pending.upstream);
    if (owner === pending.owner) return;
    if (owner === undefined) return markUnavailable(pending.upstream);
    release(pending);
    requestsByNumber.delete(pending.number);
    pending.isRepeated = false;
    pending.number = ++lastNumber;
    pending.owner = owner;
    requestsByNumber.set(pending.number, pending);
    send(pending);
  }

  return {
    isEnabled: host.isEnabled,
    needsGrant,
    isRequestDue(prompt) {
      const requests = requestsByPrompt.get(prompt);
      if (requests === undefined) return true;
      return requests.asked.size < MAX_OWNERS &&
        host.nowMs() - requests.lastRequestMs >= NEXT_OWNER_MS;
    },
    ask(prompt, candidates, terms) {
      const known = requestsByPrompt.get(prompt);
      if (known !== undefined) known.lastRequestMs = host.nowMs();
      const next = candidates.find((each) =>
        !known?.asked.has(each.upstream) && needsGrant(each.upstream)
      );
      if (next === undefined) return;
      sendRequest(known ?? createPromptRequests(prompt), next, terms);
    },
    requestIdle(prompt, idle, terms) {
      const requests = requestsByPrompt.get(prompt) ??
        createPromptRequests(prompt);
      requests.hasRequestedIdle = true;
      if (requests.asked.has(idle.upstream)) return;
      sendRequest(requests, idle, terms);
    },
    hasRequestedIdle: (prompt) =>
      requestsByPrompt.get(prompt)?.hasRequestedIdle ?? false,
    end,
    recordStart(prompt, upstream, tokens) {
      const owner = host.tryGetOwner(upstream);
      const digest = host.tryGetUpstreamDigest(upstream);
      if (owner === undefined || digest === undefined) return;
      host.send(owner, {
        kind: "start",
        start: {
          upstream: digest,
          tokens: Math.round(tokens),
          serviceTokens: Math.round(prompt.serviceTokens),
          team: host.getDigest(prompt.team),
        },
      });
    },
    receive(owner, items) {
      answeredMs.set(owner, host.nowMs());
      for (const item of items) {
        if (item.kind === "waiting") {
          const pending = requestsByNumber.get(item.number);
          if (pending === undefined) continue;
          pending.isAnswered = true;
          pending.isRepeated = false;
        } else if (!used.has(item.number) && !useGrant(owner, item.number)) {
          host.send(owner, { kind: "release", number: item.number });
        }
      }
    },
    tick() {
      for (const pending of [...requestsByNumber.values()]) {
        // An earlier check may have ended it.
        if (requestsByNumber.get(pending.number) !== pending) continue;
        checkOwner(pending);
        checkAnswer(pending);
      }
      const nowMs = host.nowMs();
      for (const [upstream, untilMs] of unavailableUntilMs) {
        if (untilMs <= nowMs) unavailableUntilMs.delete(upstream);
      }
      for (const [owner, atMs] of answeredMs) {
        if (nowMs - atMs > UNAVAILABLE_MS) answeredMs.delete(owner);
      }
    },
  };
}
