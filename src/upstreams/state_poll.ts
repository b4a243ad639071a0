/**
 * Asks the upstreams that this host owns for their state, each second: whether
 * they are leaving, and which models and role they have. The answer lags and
 * may not come, so that no answer keeps what was known.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Upstream } from "../types.ts";

/** An upstream's word about itself. */
export interface UpstreamState {
  readonly running: number;
  readonly leaving: boolean;
  /** Models that it has loaded; `undefined` when it does not manage any. */
  readonly models: readonly string[] | undefined;
  readonly role: string;
  /** The order that it works on; empty for none. */
  readonly workingOn: string;
}

/** What the watch needs of the process. */
export interface StatePollHost {
  /** Upstreams whose slots this host owns. */
  getOwned(): readonly Upstream[];
  /** `undefined` when no answer came in time. */
  tryGetState(upstream: Upstream): Effect.Effect<UpstreamState | undefined>;
  onState(upstream: Upstream, state: UpstreamState): void;
}

/** Time between two questions to one upstream, in ms. */
export const STATE_POLL_PERIOD_MS = 1_000;

/** Below the period, so that a silent upstream delays no question. */
const STATE_TIMEOUT_MS = 800;

/** Asks each owned upstream once; never fails. */
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

/** Asks over HTTP, with a deadline. */
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
