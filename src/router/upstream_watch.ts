/**
 * What this host does for the upstreams that it owns, each second: asks for
 * their state, spreads that they leave, and gives the orders that they need.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import type { Logger } from "../diagnostics/mod.ts";
import {
  createLeases,
  createOrders,
  createReservations,
  sendOrder,
} from "../orders/mod.ts";
import type { Platform, PlatformError } from "../platform/mod.ts";
import type { Recorder } from "../timeline/mod.ts";
import type { Upstream } from "../types.ts";
import { pollUpstreamStates, tryGetUpstreamState } from "../upstreams/mod.ts";

/** What the watch needs of the process. */
export interface UpstreamWatchHost {
  readonly id: string;
  readonly clock: Clock;
  readonly platform: Platform;
  readonly recorder: Recorder;
  readonly logger: Logger;
  getOwned(): readonly Upstream[];
  /** A host that is leaving begins no order: it may not see its end. */
  mayGiveOrders(): boolean;
  onWord(upstream: string, leaving: boolean): void;
  /** Tells a failure of the platform and never fails. */
  watchPlatform<A>(call: Effect.Effect<A, PlatformError>): Effect.Effect<void>;
}

/** Makes the task of one turn; never fails. */
export function createUpstreamWatch(
  host: UpstreamWatchHost,
): Effect.Effect<void> {
  const { id, clock, platform } = host;
  const orders = createOrders({
    leases: createLeases({
      id,
      clock,
      tables: platform.tables,
      createAttempt: randomUUID,
    }),
    reservations: createReservations({
      clock,
      weights: platform.weights,
      random: Math.random,
    }),
    tryGetState: tryGetUpstreamState,
    sendOrder,
    onGiven(upstream, { order, token, result }) {
      host.logger.write("info", "orderGiven", {
        args: [upstream, order, result],
        fields: { upstream },
      });
      host.recorder.record({
        kind: "order-given",
        upstream,
        order,
        token,
        decision: result,
      });
    },
  });

  return pollUpstreamStates({
    getOwned: host.getOwned,
    tryGetState: tryGetUpstreamState,
    onState(upstream, state) {
      host.onWord(upstream.id, state.leaving);
      if (!host.mayGiveOrders()) return;
      Effect.runFork(host.watchPlatform(orders.reconcile(upstream, state)));
    },
  });
}
