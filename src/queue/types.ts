/**
 * Prompts that wait, the choices that they have, and what the queue needs of the
 * process.
 *
 * @module
 */

import type { QueueInputs } from "../diagnostics/mod.ts";

/** A prompt that waits. */
export interface WaitingPrompt {
  readonly request: string;
  readonly team: string;
  readonly service: string;
  /** Name of its route; prompts of one route are alike. */
  readonly route: string;
  /** Monotonic milliseconds. */
  readonly arrivedMs: number;
  /** Time to the first event that is on time, in ms. */
  readonly targetMs: number;
  /** Service that it takes, by which teams share. */
  readonly serviceTokens: number;
  /** What an upstream does for it, in tokens, with its shared parts kept. */
  readonly workTokens: number;
  /** Upstreams that may be asked, the best first; asked anew at each look. */
  getUpstreams(): readonly RankedUpstream[];
  /** Whether its caller still waits; asked before a start. */
  isCallerConnected(): boolean;
  /** Called once, after it has left the queue. */
  start(upstream: string, prefill: PrefillTokens): void;
  /** Called once, after it has left the queue; it has not run. */
  refuse(refusal: PromptRefusal): void;
}

/** What is known of a prompt before its request has been read. */
export type NewPrompt = Pick<WaitingPrompt, "team" | "route" | "targetMs">;

/** What an upstream reads from the start of a prompt on, in tokens. */
export interface PrefillTokens {
  /** Of the prompt itself. */
  readonly readingTokens: number;
  /** Before the prompt's first event, its own included. */
  readonly queuedTokens: number;
}

/** An upstream that a prompt may be sent to. */
export interface RankedUpstream {
  readonly upstream: string;
  /** Tokens that it has to read of the prompt, as far as this host knows. */
  readonly readingTokens: number;
}

/** Why a prompt is refused, and when to come back. */
export interface PromptRefusal {
  readonly reason: "late" | "in-vain" | "no-upstream";
  readonly retryAfterMs: number;
  readonly inputs: QueueInputs;
}

/** What the queue needs of the process. */
export interface PromptQueueHost {
  nowMs(): number;
  /** The upstream's load from all hosts together. */
  getLoad(upstream: string): UpstreamLoad;
  /** What the team was given of late, over its fair share; 1 is the share. */
  getShareUsed(team: string): number;
  /** Whether the team is given more than an even part of what is short. */
  isOverserved(team: string): boolean;
  /** Whether the team is given far less than others, and asks for more. */
  isUnderserved(team: string): boolean;
  /** Told at each look, by the upstream that they wait for. */
  onUnderservedWaiting(prompts: ReadonlyMap<string, number>): void;
  /** Service for a token of work, over all prompts of late. */
  getMeanEfficiency(): number;
  /** Tokens that an upstream of the service may have to read at once. */
  getLimitTokens(service: string): number;
  /** From 0 up to 1. */
  random(): number;
  /** A prompt begins; counted in the load from now on. */
  onStart(prompt: WaitingPrompt, upstream: string, readingTokens: number): void;
}

/** What an upstream works on. */
export interface UpstreamLoad {
  /** Requests that it works on at once; the rest waits inside it. */
  readonly slots: number;
  readonly inFlight: number;
  /** What is being read there, in tokens, attention counted. */
  readonly readingTokens: number;
  /** Prompts of underserved teams, waiting for it at other hosts. */
  readonly underservedElsewhere: number;
}

/** Limits of the queue. */
export interface PromptQueueOptions {
  /** Shares of an upstream's slots, and of what it may have to read. */
  readonly limit: RoomLimit;
  /** The same for sparse prompts, see `isSparse`. */
  readonly inefficientLimit: RoomLimit;
  /** The same for prompts of teams over their share. */
  readonly overShareLimit: RoomLimit;
  /**
   * Reading so many tokens again costs less than a wait; the least busy gets the
   * prompt.
   */
  readonly negligibleTokens: number;
  /** A prompt counts for no more than this share of the limit on reading. */
  readonly maxCountedShare: number;
  /** A prompt waits this share of its target for the best upstreams alone. */
  readonly spilloverShare: number;
  /** And is refused after this share of it. */
  readonly maxWaitShare: number;
  readonly retryAfterMs: number;
  /** Whether prompts of teams over their share that wait in vain are refused. */
  readonly refusesEarly: boolean;
  /** Whether teams over their share leave upstreams to underserved teams. */
  readonly yieldsToUnderserved: boolean;
  /** Order of those that yield alike. */
  readonly compare: (a: WaitingPrompt, b: WaitingPrompt) => number;
}

/** How full an upstream may be for a prompt to be sent there. */
export interface RoomLimit {
  readonly slotShare: number;
  /** Of the tokens that an upstream may have to read at once. */
  readonly readingShare: number;
}

/** The waiting prompts of one host. */
export interface PromptQueue {
  /** Starts the prompt at once, or keeps it. */
  add(prompt: WaitingPrompt): void;
  /** Takes out a prompt whose caller left; false when it had left already. */
  remove(prompt: WaitingPrompt): boolean;
  /**
   * The refusal of a prompt that would wait in vain, before it is added;
   * `undefined` for one that may be added.
   */
  tryRefuseEarly(prompt: NewPrompt): PromptRefusal | undefined;
  /**
   * Looks at all that wait. Called by the clock alone, and not at each change of
   * load: before 42 upstreams and 22 other hosts a look takes milliseconds, and
   * a look at each of their reports left callers waiting for six seconds.
   */
  tick(): void;
  getCount(): number;
}
