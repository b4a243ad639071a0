/**
 * Sends one order to an upstream over HTTP.
 *
 * @module
 */

import { request as sendRequest } from "node:http";
import * as Effect from "effect/Effect";
import { onProtocolSwitched, startTimeout } from "../core/mod.ts";
import type { Upstream } from "../types.ts";
import { formatOrder, type Order, type OrderResult } from "./types.ts";

/** An order with its fencing token and the last check of its lease. */
export interface OrderCall {
  readonly order: Order;
  readonly token: number;
  /** Called immediately before the body of the request is sent. */
  isLeaseValid(): boolean;
}

/** Short, since an upstream acknowledges an order before it executes it. */
export const ORDER_TIMEOUT_MS = 2_000;

/**
 * Sends the order; never fails. The lease is checked after the connection is
 * established: a process that was suspended while connecting finds its lease
 * expired, and the upstream never receives a complete request.
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
    let isSent = false;
    const finish = (result: OrderResult) => resume(Effect.succeed(result));
    const req = sendRequest({
      host,
      port: Number(port),
      method: "POST",
      path: "/orders",
      headers: { "content-length": new TextEncoder().encode(body).length },
      agent: false,
      timeout: ORDER_TIMEOUT_MS,
    });
    const timeout = startTimeout(ORDER_TIMEOUT_MS, () => req.destroy());
    req.on("response", (res) => {
      res.resume();
      finish(res.statusCode === 200 ? "taken" : "refused");
    });
    onProtocolSwitched(req, () => finish("unanswered"));
    // The upstream does not execute a request whose body was never sent.
    req.on("error", () => finish(isSent ? "unanswered" : "lapsed"));
    req.on("socket", (socket) =>
      socket.once("connect", () => {
        if (!call.isLeaseValid()) {
          req.destroy();
          finish("lapsed");
          return;
        }
        isSent = true;
        req.end(body);
      }));
    return Effect.sync(() => {
      timeout[Symbol.dispose]();
      req.destroy();
    });
  });
}
