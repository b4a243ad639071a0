/**
 * Polls the state of the upstreams that this host owns once a second: whether
 * they are leaving, and which models and role they have. A state may be
 * outdated or missing; without a response the last known state is kept.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Upstream } from "../types.ts";

/** The state that an upstream reports. */
export interface UpstreamState {
  readonly running: number;
  readonly leaving: boolean;
  /**
   * Models that are loaded; `undefined` if the upstream does not manage models.
   */
  readonly models: readonly string[] | undefined;
  readonly role: string;
  /** The order that the upstream is executing; empty if none. */
  readonly workingOn: string;
}

/** Dependencies of the poll, supplied by the process. */
export interface StatePollHost {
  /** Upstreams whose slots this host owns. */
  getOwned(): readonly Upstream[];
  /** Returns `undefined` if no response arrived in time. */
  tryGetState(upstream: Upstream): Effect.Effect<UpstreamState | undefined>;
  onState(upstream: Upstream, state: UpstreamState): void;
}

/** Time between two polls of one upstream, in ms. */
export const STATE_POLL_PERIOD_MS = 1_000;

/**
 * Time-out of one poll, in ms: less than the period, so that a silent upstream
 * does not delay the next poll.
 */
const STATE_TIMEOUT_MS = 800;

/** Polls each owned upstream once; never fails. */
export function pollUpstreamStates(host: StatePollHost): Effect.Effect<void> {
  return Effect.suspend(() =>
    Effect.forEach(
      host.getOwned(),
      (upstream) =>
        host.tryGetState(upstream).pipe(
          Effect.map((state) => {
            if (state !== undefined) host.onState(upstream, state);
          }),
        ),
      { concurrency: "unbounded", discard: true },
    )
  );
}

/** Polls an upstream over HTTP. */
export function tryGetUpstreamState(
  upstream: Upstream,
): Effect.Effect<UpstreamState | undefined> {
  return Effect.promise(async () => {
    try {
      const res = await fetch(`http://${upstream.address}/load`, {
        signal: AbortSignal.timeout(STATE_TIMEOUT_MS),
      });
      return res.ok ? toState(await res.json()) : undefined;
    } catch {
      return undefined;
    }
  });
}

function toState(value: unknown): UpstreamState {
  const state = value as Partial<UpstreamState>;
  return {
    running: Number(state.running ?? 0),
    leaving: state.leaving === true,
    models: Array.isArray(state.models) ? state.models.map(String) : undefined,
    role: String(state.role ?? ""),
    workingOn: String(state.workingOn ?? ""),
  };
}
