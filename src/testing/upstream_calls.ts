/**
 * Calls to upstreams, for tests of what sends them.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Agent } from "node:http";
import type { UpstreamCall } from "../forwarding/upstream_call.ts";

/** Where a call goes. */
export interface CallTarget {
  readonly agent: Agent;
  /** IP address and port. */
  readonly address: string;
}

/** A call that may be sent, with the changes. */
export function createUpstreamCall(
  { agent, address }: CallTarget,
  changes: Partial<UpstreamCall> = {},
): UpstreamCall {
  return {
    agent,
    address,
    method: "POST",
    target: "/",
    headers: ["Host", "model.example"],
    body: Buffer.from("{}"),
    getRemainingMs: () => 0,
    getStalledMs: () => 0,
    mayStillSend: () => true,
    onSent: () => {},
    ...changes,
  };
}
