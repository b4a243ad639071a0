/**
 * Sends one order to an upstream over HTTP.
 *
 * @module
 */

import { request as sendRequest } from "node:http";
import * as Effect from "effect/Effect";
import { startTimeout } from "../core/mod.ts";
import type { Upstream } from "../types.ts";
import { formatOrder, type Order, type OrderResult } from "./types.ts";

/** An order with what the upstream and the last check need. */
export interface OrderCall {
  readonly order: Order;
  readonly token: number;
  /** Asked right before the bytes that make the request whole. */
  mayBegin(): boolean;
}

/** An upstream acknowledges an order at once and then works on it. */
export const ORDER_TIMEOUT_MS = 2_000;

/**
 * Sends the order; never fails. The connection is made first and the lease
 * checked after: a process that was stopped while it dialed finds its lease
 * lapsed, and the upstream gets no whole request.
 */
export function sendOrder(
  upstream: Upstream,
  call: OrderCall,
): Effect.Effect<OrderResult> {
  return Effect.callback<OrderResult>((resume) => {
    const body = JSON.stringify({
      order: call.order,
      token: call.token,
      checks: upstream.fencing === "checks",
      name: formatOrder(call.order),
    });
    const [host, port] = upstream.address.split(":");
    let isWhole = false;
    const end = (result: OrderResult) => resume(Effect.succeed(result));
    const req = sendRequest({
      host,
      port: Number(port),
      method: "POST",
      path: "/orders",
      headers: { "content-length": new TextEncoder().encode(body).length },
      agent: false,
      timeout: ORDER_TIMEOUT_MS,
    });
    const limit = startTimeout(ORDER_TIMEOUT_MS, () => req.destroy());
    req.on("response", (res) => {
      res.resume();
      end(res.statusCode === 200 ? "taken" : "refused");
    });
    // A request that was never whole was not begun.
    req.on("error", () => end(isWhole ? "unanswered" : "lapsed"));
    req.on("socket", (socket) =>
      socket.once("connect", () => {
        if (!call.mayBegin()) {
          req.destroy();
          end("lapsed");
          return;
        }
        isWhole = true;
        req.end(body);
      }));
    return Effect.sync(() => {
      limit[Symbol.dispose]();
      req.destroy();
    });
  });
}
