/**
 * Reconciles upstreams with the operators' declaration. Each upstream gets one
 * order at a time, sent while this host holds the upstream's lease.
 *
 * Failure prevented: a host is suspended for longer than its lease and then
 * sends a stale order after another host sent a newer one. There are three
 * guards: the lease is checked immediately before the body of the order is
 * sent; an upstream that checks fencing tokens rejects a stale one; for an
 * upstream that ignores them, the next holder waits until any order that the
 * last holder sent must have ended.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { PlatformError } from "../platform/mod.ts";
import type { Upstream } from "../types.ts";
import type { UpstreamState } from "../upstreams/mod.ts";
import { tryGetNextOrder } from "./next_order.ts";
import type { Lease, Leases } from "./lease.ts";
import { ORDER_TIMEOUT_MS, type OrderCall } from "./order_client.ts";
import type { Reservations } from "./reservations.ts";
import { formatOrder, type Order, type OrderResult } from "./types.ts";

/** Dependencies of the reconciler, supplied by the process. */
export interface OrderReconcilerHost {
  readonly leases: Leases;
  readonly reservations: Reservations;
  tryGetState(upstream: Upstream): Effect.Effect<UpstreamState | undefined>;
  sendOrder(upstream: Upstream, call: OrderCall): Effect.Effect<OrderResult>;
  onOrderResult(
    upstream: string,
    given: { order: string; token: number; result: OrderResult },
  ): void;
}

/** Sends the orders that upstreams need. */
export interface OrderReconciler {
  /** Sends the upstream the order that its state calls for, if any. */
  reconcile(
    upstream: Upstream,
    state: UpstreamState,
  ): Effect.Effect<void, PlatformError>;
}

/**
 * Time that must be left on the lease when an order is sent: the call's
 * time-out and 500 ms for a process that is delayed between the check and the
 * write.
 */
const MIN_REMAINING_LEASE_MS = ORDER_TIMEOUT_MS + 500;

/**
 * Default for the time from sending an order until it has ended or is visible
 * in the upstream's state.
 */
const DEFAULT_MAX_ORDER_MS = 5_000;

/** Creates the reconciler of one host. */
export function createOrderReconciler(
  host: OrderReconcilerHost,
): OrderReconciler {
  const active = new Set<string>();

  function sendWithLease(
    upstream: Upstream,
    order: Order,
  ): Effect.Effect<void, PlatformError> {
    return Effect.gen(function* () {
      if (order.kind === "load" && !host.reservations.canRequest()) return;
      const name = `orders/${upstream.id}`;
      const lease = yield* host.leases.tryAcquire(name, getWaitOutMs(upstream));
      if (lease === undefined) return;
      const result = yield* revalidateAndSend(lease, upstream, order);
      if (canReleaseLease(upstream, result)) yield* host.leases.release(lease);
    });
  }

  /** Sends the order if the upstream's current state still calls for it. */
  function revalidateAndSend(
    lease: Lease,
    upstream: Upstream,
    order: Order,
  ): Effect.Effect<OrderResult | "not-sent"> {
    return Effect.gen(function* () {
      // The last holder may have sent this order since this host read the
      // state.
      const state = yield* host.tryGetState(upstream);
      const needed = state && tryGetNextOrder(upstream, state);
      const text = formatOrder(order);
      if (needed === undefined || formatOrder(needed) !== text) {
        return "not-sent";
      }
      // The download is reserved only while this host holds the lease: without
      // the lease the reservation would be wasted.
      if (needed.kind === "load") {
        const isReserved = yield* host.reservations.tryReserve(needed.model);
        if (!isReserved) return "not-sent";
      }
      const result = yield* host.sendOrder(upstream, {
        order,
        token: lease.token,
        isLeaseValid: () => lease.getRemainingMs() >= MIN_REMAINING_LEASE_MS,
      });
      host.onOrderResult(upstream.id, {
        order: text,
        token: lease.token,
        result,
      });
      return result;
    });
  }

  return {
    reconcile: (upstream, state) =>
      Effect.suspend(() => {
        const order = tryGetNextOrder(upstream, state);
        if (order === undefined || active.has(upstream.id)) return Effect.void;
        active.add(upstream.id);
        return sendWithLease(upstream, order).pipe(
          Effect.ensuring(Effect.sync(() => active.delete(upstream.id))),
        );
      }),
  };
}

/**
 * Wait-out of an upstream's lease; none if the upstream checks tokens, since it
 * rejects delayed orders of the last holder itself.
 */
function getWaitOutMs(upstream: Upstream): number {
  if (upstream.fencing === "checks") return 0;
  return upstream.longestOrderMs ?? DEFAULT_MAX_ORDER_MS;
}

/**
 * False for an order without a response to an upstream that ignores tokens: the
 * order may still execute, so the lease has to expire instead.
 */
function canReleaseLease(
  upstream: Upstream,
  result: OrderResult | "not-sent",
): boolean {
  return result !== "unanswered" || upstream.fencing === "checks";
}
