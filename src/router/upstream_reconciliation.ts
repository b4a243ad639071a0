/**
 * Periodic work for the upstreams that this host owns, each second: polls their
 * states, reports whether they are leaving, and sends the orders that they
 * need.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import type { Logger } from "../diagnostics/mod.ts";
import {
  createLeases,
  createOrderReconciler,
  createReservations,
  sendOrder,
} from "../orders/mod.ts";
import type { Platform, PlatformError } from "../platform/mod.ts";
import type { Recorder } from "../timeline/mod.ts";
import type { Upstream } from "../types.ts";
import { pollUpstreamStates, tryGetUpstreamState } from "../upstreams/mod.ts";

/** Dependencies of the task, supplied by the process. */
export interface UpstreamReconciliationHost {
  readonly id: string;
  readonly clock: Clock;
  readonly platform: Platform;
  readonly recorder: Recorder;
  readonly logger: Logger;
  getOwned(): readonly Upstream[];
  /** False on a host that is leaving: it may exit before an order has ended. */
  maySendOrders(): boolean;
  onLeavingReport(upstream: string, leaving: boolean): void;
  /** Reports a failure of the platform and never fails. */
  reportFailure<A>(call: Effect.Effect<A, PlatformError>): Effect.Effect<void>;
}

/** Creates the effect of one run, which never fails. */
export function createUpstreamReconciliation(
  host: UpstreamReconciliationHost,
): Effect.Effect<void> {
  const { id, clock, platform } = host;
  const reconciler = createOrderReconciler({
    leases: createLeases({
      id,
      clock,
      tables: platform.tables,
      createAttemptId: randomUUID,
    }),
    reservations: createReservations({
      clock,
      weights: platform.weights,
      random: Math.random,
    }),
    tryGetState: tryGetUpstreamState,
    sendOrder,
    onOrderResult(upstream, { order, token, result }) {
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
      host.onLeavingReport(upstream.id, state.leaving);
      if (!host.maySendOrders()) return;
      Effect.runFork(host.reportFailure(reconciler.reconcile(upstream, state)));
    },
  });
}
