/**
 * Types of the prompt queue: waiting prompts, the upstreams that they may be
 * sent to, and the queue's options and dependencies.
 *
 * Upstreams prefill (read) a prompt before they generate its answer. Token
 * counts of prefill are weighted by the cost of attention, unless stated
 * otherwise.
 *
 * @module
 */

import type {
  LoadCoverage,
  QueueInputs,
  RoomUse,
  TeamServiceRates,
} from "../diagnostics/mod.ts";
import type { WaitingLoad } from "../load/mod.ts";
import type { PrefixFetch, PrefixUse } from "../placement/mod.ts";
import type { ProcessorUse } from "../types.ts";

/**
 * 0: yields to no other prompts. 1: an inefficient prompt. 2: a prompt of a team
 * over its share.
 */
export type YieldLevel = 0 | 1 | 2;

/** A prompt that waits to be sent to an upstream. */
export interface WaitingPrompt {
  readonly request: string;
  readonly team: string;
  readonly service: string;
  /** Name of its route. Prompts of one route have similar costs. */
  readonly route: string;
  /** Monotonic milliseconds. */
  readonly arrivedMs: number;
  /** Target time from arrival to the first event of the answer, in ms. */
  readonly targetMs: number;
  /** Service counted against the team's fair share, in tokens. */
  readonly serviceTokens: number;
  /**
   * Work of the upstream in tokens, when the prompt's shared prefix is in its
   * cache.
   */
  readonly workTokens: number;
  /**
   * Whether its caller has events of the stream already, so that only upstreams
   * of one software version may go on with it.
   */
  readonly isBegun: boolean;
  /** Whether an earlier attempt of its request was counted as begun. */
  readonly isRepeated: boolean;
  /** Eligible upstreams, the best first; called in each scheduling pass. */
  getUpstreams(): readonly RankedUpstream[];
  /**
   * Whether the caller is still connected; checked before the prompt starts.
   */
  isCallerConnected(): boolean;
  /** Sends the prompt; called at most once, after it has left the queue. */
  start(upstream: string, prefill: PrefillTokens): void;
  /**
   * Refuses the prompt, which has not run; called at most once, after it has
   * left the queue.
   */
  refuse(refusal: PromptRefusal): void;
}

/** The properties of a prompt that are known before its body has been read. */
export type NewPrompt = Pick<WaitingPrompt, "team" | "route" | "targetMs">;

/** Prefill work of an upstream at the time when a prompt starts, in tokens. */
export interface PrefillTokens {
  /** Tokens of the prompt itself. */
  readonly readingTokens: number;
  /** Tokens to prefill before the prompt's first event, including its own. */
  readonly queuedTokens: number;
  /** Whose room the prompt takes, for the log. */
  readonly room: RoomUse;
  /**
   * The fetch by which the upstream gets the shared prefix; its cost is included
   * above. `undefined` if it needs none.
   */
  readonly fetch: PrefixFetch | undefined;
  /**
   * How the upstream gets the shared prefix; `undefined` if it is short, or if
   * the hosts do not keep track of it.
   */
  readonly prefix: PrefixUse | undefined;
  /**
   * Time from the first request for a grant to the grant, in ms; absent for a
   * prompt that was started without one.
   */
  readonly grantMs?: number | undefined;
}

/** An upstream to which a prompt may be sent. */
export interface RankedUpstream {
  readonly upstream: string;
  /**
   * Tokens of the prompt that the upstream has to prefill, as this host
   * expects.
   */
  readonly readingTokens: number;
  /**
   * The fetch by which it would get the shared prefix; its cost is included in
   * `readingTokens`. Absent if it needs none.
   */
  readonly fetch?: PrefixFetch | undefined;
  /**
   * How the upstream gets the shared prefix; absent if it is short, or if the
   * hosts do not keep track of it. Upstreams that hold it come first.
   */
  readonly prefix?: PrefixUse;
}

/** Why a prompt is refused, and when its caller should retry. */
export interface PromptRefusal {
  readonly reason: "late" | "in-vain" | "host-busy" | "no-upstream";
  readonly retryAfterMs: number;
  readonly inputs: QueueInputs;
}

/** Dependencies of the queue, supplied by the process. */
export interface PromptQueueHost {
  nowMs(): number;
  /** The upstream's load over all hosts. */
  getLoad(upstream: string): UpstreamLoad;
  /**
   * Recent service of the team, relative to its fair share; 1 is the full
   * share.
   */
  getShareUsed(team: string): number;
  /**
   * Recent service of the team over all hosts, with its credit, in tokens per
   * second.
   */
  getServiceLevel(team: string): number;
  /** Recent service of the team over all hosts, for the log. */
  getServiceRates(team: string): TeamServiceRates;
  /** What this host takes for the load of the fleet, for the log. */
  getCoverage(): LoadCoverage;
  /** Whether the team gets more than its due. */
  isOverserved(team: string): boolean;
  /** Whether the team gets less than its due. */
  isUnderserved(team: string): boolean;
  /**
   * Reports the waiting prompts by the upstream that they wait for; called in
   * each scheduling pass.
   */
  onWaiting(loads: ReadonlyMap<string, WaitingLoad>): void;
  /**
   * Recent mean of service tokens per token of upstream work, of all prompts.
   */
  getMeanEfficiency(): number;
  /**
   * Limit on the tokens that the upstream of the service may be prefilling when
   * a prompt with this target, in ms, starts there. Without an upstream, the
   * limit of the service.
   */
  getLimitTokens(
    service: string,
    upstream: string | undefined,
    targetMs: number,
  ): number;
  /** A random number from 0 up to, but not including, 1. */
  random(): number;
  /** How much of its processor time this host uses. */
  getProcessorUse(): ProcessorUse;
  /** Called when a prompt starts, to count it in the load of its upstream. */
  onStart(prompt: WaitingPrompt, upstream: string, readingTokens: number): void;
  /** Absent where prompts start by the rules of this host only. */
  readonly grants?: PromptGrants;
}

/** What the owner of an upstream orders and limits a prompt by. */
export interface GrantTerms {
  readonly yields: YieldLevel;
  /** Whether its team is over its share or overserved, and so goes last. */
  readonly isDeprioritised: boolean;
  /** Time from its arrival after which the prompt is refused, in ms. */
  readonly maxWaitMs: number;
}

/** Grants by the owners of upstreams, for which prompts wait. */
export interface PromptGrants {
  /** Whether prompts need grants at present. */
  isEnabled(): boolean;
  /**
   * Whether prompts need a grant for the upstream; false while its owner is
   * unknown or does not answer.
   */
  needsGrant(upstream: string): boolean;
  /** Whether it is time to ask for a further upstream. */
  isRequestDue(prompt: WaitingPrompt): boolean;
  /** Asks for the first of the candidates that it has not asked for. */
  ask(
    prompt: WaitingPrompt,
    candidates: readonly RankedUpstream[],
    terms: GrantTerms,
  ): void;
  /** Asks for an idle upstream, once for each prompt. */
  requestIdle(
    prompt: WaitingPrompt,
    idle: RankedUpstream,
    terms: GrantTerms,
  ): void;
  hasRequestedIdle(prompt: WaitingPrompt): boolean;
  /** Cancels the requests for a prompt that no longer waits. */
  end(prompt: WaitingPrompt, outcome: "expired" | "cancelled"): void;
  /** Tells the owner of a prompt that has started without a grant. */
  recordStart(prompt: WaitingPrompt, upstream: string, tokens: number): void;
}

/** Current load of an upstream. */
export interface UpstreamLoad {
  /**
   * Requests that it runs concurrently; further ones wait inside the upstream.
   */
  readonly slots: number;
  readonly inFlight: number;
  /** Tokens being prefilled there, weighted by the cost of attention. */
  readonly readingTokens: number;
  /** Prompts of underserved teams that wait for it at other hosts. */
  readonly underservedElsewhere: number;
  /**
   * Tokens that prompts of underserved teams wait to prefill there, at this host
   * and the others.
   */
  readonly underservedTokens: number;
  /**
   * Tokens that prompts which yield to underserved teams wait to prefill there
   * at other hosts.
   */
  readonly yieldingElsewhere: number;
  /**
   * Whether the upstream is cold and gets no request of this host at the
   * moment.
   */
  readonly isWarmUpSpent: boolean;
}

/** Scheduling policy of the queue. */
export interface PromptQueueOptions {
  /** Limits for prompts that yield to no others. */
  readonly limit: RoomLimit;
  /** Limits for inefficient prompts, see `isInefficient`. */
  readonly inefficientLimit: RoomLimit;
  /** Limits for prompts of teams over their share. */
  readonly overShareLimit: RoomLimit;
  /** Factors by which prompts of underserved teams may exceed these limits. */
  readonly underservedFactors: RoomLimit;
  /**
   * Prefilling up to this many tokens again costs less than waiting. Upstreams
   * whose prefill differs by no more than this are equally good for a prompt,
   * and the least busy of a few of them gets it.
   */
  readonly negligibleTokens: number;
  /**
   * The prompt's tokens are counted only up to this share of the prefill limit.
   */
  readonly maxCountedShare: number;
  /**
   * Share of its target time for which a prompt waits only for its best-ranked
   * upstreams.
   */
  readonly spilloverShare: number;
  /** Share of its target time after which a waiting prompt is refused. */
  readonly maxWaitShare: number;
  readonly retryAfterMs: number;
  /**
   * Whether a prompt of a team over its share is refused before it is added,
   * when too many of the team's prompts already wait.
   */
  readonly refusesEarly: boolean;
  /**
   * Whether overserved teams, and teams over their share, leave the last room
   * of an upstream to underserved teams.
   */
  readonly yieldsToUnderserved: boolean;
  /** Order among prompts of equal priority. */
  readonly compare: (a: WaitingPrompt, b: WaitingPrompt) => number;
}

/**
 * How much of an upstream's capacity may be in use when a prompt is sent there.
 */
export interface RoomLimit {
  /** Share of the upstream's slots. */
  readonly slotShare: number;
  /** Share of the prefill limit in tokens. */
  readonly prefillShare: number;
}

/** The queue of waiting prompts of one host. */
export interface PromptQueue {
  /**
   * Starts the prompt at once, queues it, or refuses it if no upstream exists.
   */
  add(prompt: WaitingPrompt): void;
  /**
   * Removes a prompt whose caller has disconnected; false when it was no longer
   * in the queue.
   */
  remove(prompt: WaitingPrompt): boolean;
  /**
   * Starts a prompt that the owner of the upstream has granted, at once. False
   * if it no longer waits, is too late or can no longer use the upstream.
   */
  startGranted(
    prompt: WaitingPrompt,
    upstream: string,
    grantMs: number,
  ): boolean;
  /**
   * Returns the refusal of a prompt that could not start in time, before it is
   * added; `undefined` for a prompt that may be added.
   */
  tryRefuseEarly(prompt: NewPrompt): PromptRefusal | undefined;
  /**
   * Runs a scheduling pass over all waiting prompts. It is called periodically
   * and not at each change of load: with 42 upstreams and 22 other hosts a pass
   * takes milliseconds, and a pass for each load report delayed callers by six
   * seconds.
   */
  tick(): void;
  getCount(): number;
}
