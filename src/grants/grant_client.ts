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
import type { AskerItem, OwnerItem } from "./types.ts";

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
  send(to: string, item: AskerItem): void;
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

interface Ask {
  number: number;
  owner: string;
  sentMs: number;
  isAnswered: boolean;
  /** Whether it was sent again since the owner's latest answer to it. */
  isRepeated: boolean;
  readonly asking: Asking;
  readonly upstream: string;
  readonly terms: GrantTerms;
  readonly tokens: number;
}

/** The requests for one prompt. */
interface Asking {
  readonly prompt: WaitingPrompt;
  readonly firstMs: number;
  lastMs: number;
  /** Upstreams that were asked for and may still be granted. */
  readonly asked: Set<string>;
  hasSpillover: boolean;
  readonly open: Set<Ask>;
}

/** Creates a client without requests. */
export function createGrantClient(host: GrantClientHost): GrantClient {
  const askings = new Map<WaitingPrompt, Asking>();
  const asks = new Map<number, Ask>();
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

  function send(ask: Ask): void {
    const { prompt } = ask.asking;
    const nowMs = host.nowMs();
    ask.sentMs = nowMs;
    ask.isAnswered = false;
    const ageMs = nowMs - prompt.arrivedMs;
    host.send(ask.owner, {
      kind: "request",
      request: {
        number: ask.number,
        tokens: Math.round(ask.tokens),
        serviceTokens: Math.round(prompt.serviceTokens),
        upstream: host.tryGetUpstreamDigest(ask.upstream) ?? 0,
        team: host.getDigest(prompt.team),
        yields: ask.terms.yields,
        isDeprioritised: ask.terms.isDeprioritised,
        ageMs: Math.max(0, Math.round(ageMs)),
        remainingMs: Math.max(0, Math.round(ask.terms.maxWaitMs - ageMs)),
      },
    });
  }

  function createAsking(prompt: WaitingPrompt): Asking {
    const nowMs = host.nowMs();
    const asking = {
      prompt,
      firstMs: nowMs,
      lastMs: nowMs,
      asked: new Set<string>(),
      hasSpillover: false,
      open: new Set<Ask>(),
    };
    askings.set(prompt, asking);
    return asking;
  }

  function askFor(
    asking: Asking,
    { upstream, readingTokens }: RankedUpstream,
    terms: GrantTerms,
  ): void {
    const ask: Ask = {
      number: ++lastNumber,
      owner: host.tryGetOwner(upstream)!,
      sentMs: 0,
      isAnswered: false,
      isRepeated: false,
      asking,
      upstream,
      terms,
      tokens: readingTokens,
    };
    asking.asked.add(upstream);
    asking.open.add(ask);
    asks.set(ask.number, ask);
    send(ask);
  }

  function remove(ask: Ask, outcome: GrantOutcome): void {
    asks.delete(ask.number);
    ask.asking.open.delete(ask);
    host.onEnded(outcome);
  }

  function release({ owner, number }: Ask): void {
    host.send(owner, { kind: "release", number });
  }

  function end(prompt: WaitingPrompt, outcome: "expired" | "cancelled"): void {
    const asking = askings.get(prompt);
    if (asking === undefined) return;
    askings.delete(prompt);
    for (const ask of asking.open) {
      release(ask);
      remove(ask, outcome);
    }
  }

  /** Starts the prompt; false if the grant has to be returned. */
  function useGrant(owner: string, number: number): boolean {
    const ask = asks.get(number);
    if (ask === undefined || ask.owner !== owner) return false;
    const { prompt, firstMs, open } = ask.asking;
    // The start cancels the other requests, but not this one.
    open.delete(ask);
    const isStarted = host.start(
      prompt,
      ask.upstream,
      host.nowMs() - firstMs,
    );
    if (isStarted) {
      used.add(number);
      dropOldest(used, MAX_USED);
    }
    ask.asking.asked.delete(ask.upstream);
    remove(ask, isStarted ? "granted" : "cancelled");
    return isStarted;
  }

  /** The host decides about the upstream by its own rules for a while. */
  function markUnavailable(upstream: string): void {
    const untilMs = host.nowMs() + UNAVAILABLE_MS;
    unavailableUntilMs.set(upstream, untilMs);
    for (const ask of [...asks.values()]) {
      if (ask.upstream !== upstream) continue;
      release(ask);
      ask.asking.asked.delete(upstream);
      remove(ask, "unavailable");
    }
  }

  function checkAnswer(ask: Ask): void {
    const sinceMs = host.nowMs() - ask.sentMs;
    if (ask.isAnswered) {
      if (sinceMs >= REPEAT_MS) send(ask);
      return;
    }
    if (sinceMs < ANSWER_TIMEOUT_MS) return;
    const hasAnswered = (answeredMs.get(ask.owner) ?? -Infinity) >= ask.sentMs;
    // A single datagram was lost if the owner has answered others. An owner that
    // does not know the upstream never answers.
    if (!hasAnswered || ask.isRepeated) return markUnavailable(ask.upstream);
    ask.isRepeated = true;
    send(ask);
  }

  /** Asks the new owner after a change of the hosts. */
  function checkOwner(ask: Ask): void {
    const owner = host.tryGetOwner(ask.upstream);
    if (owner === ask.owner || owner === undefined) return;
    release(ask);
    asks.delete(ask.number);
    ask.number = ++lastNumber;
    ask.owner = owner;
    asks.set(ask.number, ask);
    send(ask);
  }

  return {
    isEnabled: host.isEnabled,
    needsGrant,
    isAskDue(prompt) {
      const asking = askings.get(prompt);
      if (asking === undefined) return true;
      return asking.asked.size < MAX_OWNERS &&
        host.nowMs() - asking.lastMs >= NEXT_OWNER_MS;
    },
    ask(prompt, candidates, terms) {
      const known = askings.get(prompt);
      if (known !== undefined) known.lastMs = host.nowMs();
      const next = candidates.find((each) =>
        !known?.asked.has(each.upstream) && needsGrant(each.upstream)
      );
      if (next === undefined) return;
      askFor(known ?? createAsking(prompt), next, terms);
    },
    askForIdle(prompt, idle, terms) {
      const asking = askings.get(prompt) ?? createAsking(prompt);
      asking.hasSpillover = true;
      if (asking.asked.has(idle.upstream)) return;
      askFor(asking, idle, terms);
    },
    hasAskedForIdle: (prompt) => askings.get(prompt)?.hasSpillover ?? false,
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
          const ask = asks.get(item.number);
          if (ask === undefined) continue;
          ask.isAnswered = true;
          ask.isRepeated = false;
        } else if (!used.has(item.number) && !useGrant(owner, item.number)) {
          host.send(owner, { kind: "release", number: item.number });
        }
      }
    },
    tick() {
      for (const ask of [...asks.values()]) {
        // An earlier check may have ended it.
        if (asks.get(ask.number) !== ask) continue;
        checkOwner(ask);
        checkAnswer(ask);
      }
      if (asks.size > 0) return;
      for (const [upstream, untilMs] of unavailableUntilMs) {
        if (untilMs <= host.nowMs()) unavailableUntilMs.delete(upstream);
      }
    },
  };
}
