/**
 * Brings upstreams to what operators declared, one order at a time, each under
 * the upstream's lease.
 *
 * Failure: a host is stopped for longer than its lease and goes on with an old
 * order after another host gave a newer one. Three things stand against it:
 * the lease is checked right before the order's last bytes; an upstream that
 * checks fencing tokens refuses the older one; for one that ignores them the
 * next holder waits until what the last one may have begun has ended.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { PlatformError } from "../platform/mod.ts";
import type { Upstream } from "../types.ts";
import type { UpstreamState } from "../upstreams/mod.ts";
import { tryGetNextOrder } from "./decide_order.ts";
import type { Lease, Leases } from "./lease.ts";
import { ORDER_TIMEOUT_MS, type OrderCall } from "./order_client.ts";
import type { Reservations } from "./reservations.ts";
import { formatOrder, type Order, type OrderResult } from "./types.ts";

/** What orders need of the process. */
export interface OrderReconcilerHost {
  readonly leases: Leases;
  readonly reservations: Reservations;
  tryGetState(upstream: Upstream): Effect.Effect<UpstreamState | undefined>;
  sendOrder(upstream: Upstream, call: OrderCall): Effect.Effect<OrderResult>;
  onOrderSent(
    upstream: string,
    given: { order: string; token: number; result: OrderResult },
  ): void;
}

/** Gives orders. */
export interface OrderReconciler {
  /** Looks at an upstream's state, and gives the order that it needs. */
  reconcile(
    upstream: Upstream,
    state: UpstreamState,
  ): Effect.Effect<void, PlatformError>;
}

/**
 * Left on the lease when an order begins: its call may last so long, and a
 * process may be held up for a moment between the check and the write.
 */
const MIN_REMAINING_LEASE_MS = ORDER_TIMEOUT_MS + 500;

/** From sending until an order has ended or shows in the upstream's state. */
const DEFAULT_MAX_ORDER_MS = 5_000;

/** Makes the orders of one host. */
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

  /** Under the lease, when the order is still the one that is needed. */
  function revalidateAndSend(
    lease: Lease,
    upstream: Upstream,
    order: Order,
  ): Effect.Effect<OrderResult | "not-sent"> {
    return Effect.gen(function* () {
      // The last holder may have given it since this host looked.
      const state = yield* host.tryGetState(upstream);
      const needed = state && tryGetNextOrder(upstream, state);
      const text = formatOrder(order);
      if (needed === undefined || formatOrder(needed) !== text) {
        return "not-sent";
      }
      // Reserved under the lease, so that no download is reserved in vain while
      // another host holds it.
      if (needed.kind === "load") {
        const isReserved = yield* host.reservations.tryReserve(needed.model);
        if (!isReserved) return "not-sent";
      }
      const result = yield* host.sendOrder(upstream, {
        order,
        token: lease.token,
        isLeaseValid: () => lease.getRemainingMs() >= MIN_REMAINING_LEASE_MS,
      });
      host.onOrderSent(upstream.id, {
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

/** An upstream that checks tokens refuses what the last holder sends late. */
function getWaitOutMs(upstream: Upstream): number {
  if (upstream.fencing === "checks") return 0;
  return upstream.longestOrderMs ?? DEFAULT_MAX_ORDER_MS;
}

/** An order without an answer may still be under way: its lease has to lapse. */
function canReleaseLease(
  upstream: Upstream,
  result: OrderResult | "not-sent",
): boolean {
  return result !== "unanswered" || upstream.fencing === "checks";
}
