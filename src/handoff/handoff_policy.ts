/**
 * Decides whether this host, as the origin, hands a new connection off, and
 * which neighbouring host it asks to take it.
 *
 * Load: callers of some teams all connect to the same ready host, whose share
 * of a core is used up while its neighbours are idle. Failure prevented: as its
 * event loop falls behind, connections to it time out before they are accepted.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { AttemptOutcome } from "./protocol.ts";

/** The decisions of an origin and the state that they depend on. */
export interface HandoffPolicy {
  /**
   * Whether this host should close its callers' connections: its utilization is above the
   * limit and enough neighbouring hosts are alive.
   */
  isOverloaded(): boolean;
  /** Whether this other host of the data centre is alive. */
  isNeighbour(host: string): boolean;
  /** Whether enough hosts are alive in the data centre for handoffs. */
  hasEnoughHosts(): boolean;
  /** Whether a connection that arrives now should be handed off. */
  mayHandOff(): boolean;
  /**
   * Selects a target and counts a handoff to it as open; `undefined` if no
   * neighbouring host may be asked.
   */
  tryBegin(): string | undefined;
  /**
   * Records the target's answer. Unless the connection was taken, its handoff
   * is no longer open.
   */
  recordOutcome(target: string, outcome: AttemptOutcome): void;
  /** Ends the open handoff of a connection that was taken. */
  end(target: string): void;
  /** Open handoffs, including those that have not been answered yet. */
  countOpen(): number;
  /**
   * Records that this host, as the target, refused a connection of a neighbour.
   */
  recordRefusal(): void;
  /**
   * Whether a neighbour lately refused a connection of this host, or this host
   * one of a neighbour: there are more connections than they accept in time.
   */
  isShortOfTime(): boolean;
}

/** Dependencies of the policy. Hosts are identified by their peer address. */
export interface HandoffPolicyHost {
  readonly clock: Clock;
  readonly self: string;
  /** Maximum number of open handoffs of this origin. */
  readonly maxOpen: number;
  random(): number;
  /** Utilization of this host's event loop, from 0 to 1. */
  getUtilization(): number;
  isDraining(): boolean;
  /** The hosts alive in this data centre, including this one. */
  getAliveHosts(): readonly string[];
  isFull(host: string): boolean;
}

/** Utilization above which a host hands off its new connections. */
export const MIN_ORIGIN_UTILIZATION = 0.8;

/**
 * Minimum number of hosts alive in the data centre. With fewer, an overloaded
 * host rarely has a neighbour with capacity to spare.
 */
const MIN_HOSTS = 4;

/**
 * Time for which a target that refused or did not answer is not asked again, in
 * ms: two windows of the utilization on which it decides.
 */
export const BACKOFF_MS = 500;

/** Time for which hosts count as short of time after a refusal, in ms. */
const SHORTAGE_MS = 1_000;

/**
 * Time for which the list of neighbouring hosts is kept, in ms. Going through
 * all members for each connection would cost an overloaded host the most.
 */
export const NEIGHBOURS_MAX_AGE_MS = 100;

/** Creates the policy of an origin without open handoffs. */
export function createHandoffPolicy(host: HandoffPolicyHost): HandoffPolicy {
  const { clock, self } = host;
  const openByTarget = new Map<string, number>();
  const backoffUntilMs = new Map<string, number>();
  let open = 0;
  let neighbours: string[] = [];
  let neighboursReadMs = -Infinity;
  let refusedMs = -Infinity;

  const getOpen = (target: string) => openByTarget.get(target) ?? 0;

  function changeOpen(target: string, change: 1 | -1): void {
    open += change;
    const count = getOpen(target) + change;
    if (count === 0) openByTarget.delete(target);
    else openByTarget.set(target, count);
  }

  function dropEndedBackoffs(nowMs: number): void {
    for (const [target, untilMs] of backoffUntilMs) {
      if (untilMs <= nowMs) backoffUntilMs.delete(target);
    }
  }

  /** Returns the other hosts alive, in any order; a list that may be changed. */
  function getNeighbours(): string[] {
    const nowMs = clock.monotonicMs();
    if (nowMs - neighboursReadMs < NEIGHBOURS_MAX_AGE_MS) return neighbours;
    neighboursReadMs = nowMs;
    neighbours = host.getAliveHosts().filter((each) => each !== self);
    dropEndedBackoffs(nowMs);
    return neighbours;
  }

  function recordRefusal(): void {
    refusedMs = clock.monotonicMs();
  }

  const hasEnoughHosts = () => getNeighbours().length >= MIN_HOSTS - 1;

  function mayAsk(target: string): boolean {
    const untilMs = backoffUntilMs.get(target) ?? -Infinity;
    return untilMs <= clock.monotonicMs() && !host.isFull(target);
  }

  /**
   * Draws hosts without replacement until two that may be asked are found, by
   * moving those drawn to the front of the list.
   */
  function drawTwo(): string[] {
    const hosts = getNeighbours();
    const drawn: string[] = [];
    for (let at = 0; at < hosts.length && drawn.length < 2; at++) {
      const from = at + Math.floor(host.random() * (hosts.length - at));
      const target = hosts[from]!;
      hosts[from] = hosts[at]!;
      hosts[at] = target;
      if (mayAsk(target)) drawn.push(target);
    }
    return drawn;
  }

  const isBusy = () =>
    host.getUtilization() > MIN_ORIGIN_UTILIZATION && !host.isDraining();

  return {
    isOverloaded: () => isBusy() && hasEnoughHosts(),
    isNeighbour: (other) => getNeighbours().includes(other),
    hasEnoughHosts,
    mayHandOff: () => isBusy() && open < host.maxOpen,
    tryBegin() {
      if (!hasEnoughHosts()) return undefined;
      const [first, second = first] = drawTwo();
      if (first === undefined || second === undefined) return undefined;
      const target = getOpen(second) < getOpen(first) ? second : first;
      changeOpen(target, 1);
      return target;
    },
    recordOutcome(target, outcome) {
      if (outcome === "taken") return;
      changeOpen(target, -1);
      if (outcome === "refused") recordRefusal();
      backoffUntilMs.set(target, clock.monotonicMs() + BACKOFF_MS);
    },
    end: (target) => changeOpen(target, -1),
    countOpen: () => open,
    recordRefusal,
    isShortOfTime: () => clock.monotonicMs() - refusedMs < SHORTAGE_MS,
  };
}
