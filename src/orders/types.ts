/**
 * Orders that change the loaded models or the role of an upstream.
 *
 * @module
 */

/** One change that an upstream is asked to make. */
export type Order =
  | { readonly kind: "load"; readonly model: string }
  | { readonly kind: "unload"; readonly model: string }
  | { readonly kind: "role"; readonly role: string };

/** Result of an attempt to send an order. */
export type OrderResult =
  | "taken"
  /** Rejected by the upstream, for a stale fencing token or another reason. */
  | "refused"
  /**
   * Not sent: the connection failed, or the last check found too little time
   * left on the lease.
   */
  | "lapsed"
  /** Sent without a response: the upstream may have begun to execute it. */
  | "unanswered";

/** Formats an order for the timeline, logs and comparison. */
export function formatOrder(order: Order): string {
  const subject = order.kind === "role" ? order.role : order.model;
  return `${order.kind} ${subject}`;
}
