/**
 * Ways to keep the limit of a cold upstream over the fleet, which the simulation
 * of a warm-up compares with the drawn parts of `src/warmup`.
 *
 * @module
 */

import type { ManualClock } from "../core/mod.ts";
import { tryGetOwner } from "../membership/mod.ts";
import type { PartHost, WarmUpLimit, WarmUps } from "../warmup/mod.ts";

/** How long a request waits for an upstream before it is refused, in ms. */
export const MAX_WAIT_MS = 480;

/** Delays between hosts in the same and in different regions, in ms. */
export const NEAR_MS = 1.4;
export const FAR_MS = 20;

/** Time for which a token from an owner may be used, in ms. */
const TOKEN_TTL_MS = 300;

/** Which hosts see each other: all, or each half only itself. */
export type Visibility = "whole" | "halves";

/**
 * How the hosts share a limit. `drawn-first`: a drawn host sends requests that
 * any upstream can serve to the cold one first.
 */
export type WarmUpPolicy =
  | "unlimited"
  | "even"
  | "owner"
  | "drawn"
  | "drawn-first";

/** Parameters of a run. */
export interface WarmUpRun {
  readonly seed: number;
  readonly hosts: number;
  readonly visibility: Visibility;
  readonly policy: WarmUpPolicy;
  readonly limit: WarmUpLimit;
}

/** Whether the host `to` is alive in the view of the host `from`. */
export function isVisible(run: WarmUpRun, from: number, to: number): boolean {
  // Halves that each have hosts of both regions.
  return run.visibility === "whole" || (from >> 1) % 2 === (to >> 1) % 2;
}

/** Hosts send as if no upstream were cold. */
export function createUnlimited(base: WarmUps): WarmUps {
  return { ...base, getAllowance: () => "unlimited", take: () => {} };
}

/** Each host has an even part of the limit. */
export function createEven(run: WarmUpRun, clock: ManualClock, base: WarmUps) {
  const nextMs = new Map<string, number>();
  const intervalMs = 1_000 * run.hosts / run.limit.requestsPerSecond;
  const warmUps: WarmUps = {
    ...base,
    getAllowance(upstream) {
      if (!base.isCold(upstream)) return "unlimited";
      const nowMs = clock.monotonicMs();
      if (!nextMs.has(upstream.id)) nextMs.set(upstream.id, nowMs + intervalMs);
      return nowMs >= nextMs.get(upstream.id)! ? "now" : "later";
    },
    take: (upstream) =>
      void nextMs.set(upstream.id, clock.monotonicMs() + intervalMs),
  };
  return warmUps;
}

/** Messages between hosts that ask for tokens and owners that grant them. */
export interface TokenBus {
  /** Asks the owner for one request to the upstream. */
  ask(ask: TokenAsk): void;
  /** Delivers all messages that are due. */
  deliver(): void;
  countMessages(): number;
}

interface TokenAsk {
  readonly from: number;
  readonly owner: number;
  readonly upstream: string;
  onGranted(): void;
}

/** Owners grant evenly spaced tokens to the hosts that ask for them. */
export function createTokenBus(run: WarmUpRun, clock: ManualClock): TokenBus {
  const inTransit: { readonly atMs: number; deliver(): void }[] = [];
  const nextGrantMs = new Map<string, number>();
  let messages = 0;

  function send(
    from: number,
    to: number,
    afterMs: number,
    deliver: () => void,
  ) {
    messages++;
    if (!isVisible(run, from, to)) return;
    const delayMs = from % 2 === to % 2 ? NEAR_MS : FAR_MS;
    inTransit.push({ atMs: clock.monotonicMs() + afterMs + delayMs, deliver });
  }

  function grant({ from, owner, upstream, onGranted }: TokenAsk): void {
    const key = `${owner}/${upstream}`;
    const nowMs = clock.monotonicMs();
    const spacingMs = 1_000 / run.limit.requestsPerSecond;
    const atMs = Math.max(nowMs, nextGrantMs.get(key) ?? nowMs + spacingMs);
    if (atMs - nowMs > MAX_WAIT_MS) return;
    nextGrantMs.set(key, atMs + spacingMs);
    send(owner, from, atMs - nowMs, onGranted);
  }

  return {
    ask: (ask) => send(ask.from, ask.owner, 0, () => grant(ask)),
    deliver() {
      const nowMs = clock.monotonicMs();
      const due = inTransit.filter((each) => each.atMs <= nowMs);
      const left = inTransit.filter((each) => each.atMs > nowMs);
      inTransit.splice(0, inTransit.length, ...left);
      for (const each of due) each.deliver();
    },
    countMessages: () => messages,
  };
}

/** A host sends what the owner of the upstream has granted. */
export function createOwnerClient(
  self: { readonly index: number; readonly address: string },
  parts: {
    readonly bus: TokenBus;
    readonly clock: ManualClock;
    readonly hosts: readonly PartHost[];
    readonly drawn: WarmUps;
  },
): WarmUps {
  const { bus, clock, hosts, drawn } = parts;
  const askedMs = new Map<string, number>();
  const grantedMs = new Map<string, number>();
  const alive = hosts.filter((each) => each.isAlive);

  function ask(upstream: string): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - (askedMs.get(upstream) ?? -Infinity) < MAX_WAIT_MS) return;
    askedMs.set(upstream, nowMs);
    const owner = tryGetOwner(upstream, alive.map((each) => each.address))!;
    bus.ask({
      from: self.index,
      owner: hosts.findIndex((each) => each.address === owner),
      upstream,
      onGranted: () => void grantedMs.set(upstream, clock.monotonicMs()),
    });
  }

  return {
    ...drawn,
    getAllowance(upstream) {
      if (!drawn.isCold(upstream)) return "unlimited";
      const sinceMs = grantedMs.get(upstream.id) ?? -Infinity;
      if (clock.monotonicMs() - sinceMs < TOKEN_TTL_MS) return "now";
      ask(upstream.id);
      return "later";
    },
    take(upstream) {
      grantedMs.delete(upstream.id);
      askedMs.delete(upstream.id);
    },
  };
}
