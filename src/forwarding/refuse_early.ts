/**
 * Refuses a prompt by its headers alone if the queue would certainly refuse it
 * later.
 *
 * Load: a team sends many times its share.
 *
 * Failure prevented: for each refused prompt the host reads the body, runs a
 * fiber and keeps a place in the queue for half a second, all for the same
 * refusal.
 *
 * @module
 */

import type { Route } from "../routing/mod.ts";
import type { ForwardHost } from "./call.ts";
import { createBusyRejection, recordDemand } from "./pick_upstream.ts";
import type { Rejected } from "./rejections.ts";
import type { CallHeaders } from "./types.ts";

/** What is known of a request before its body has been read. */
export interface EarlyRefusalInput {
  readonly headers: CallHeaders;
  readonly route: Route;
  readonly team: string | undefined;
}

/**
 * Returns the rejection of a prompt that could not start in time; `undefined`
 * if the request may proceed.
 */
export function tryRefuseEarly(
  host: ForwardHost,
  { headers, route, team = "" }: EarlyRefusalInput,
): Rejected | undefined {
  const { prompt } = headers;
  if (!route.hasPrompts || prompt === undefined) return undefined;
  const refusal = host.queue.tryRefuseEarly({
    team,
    route: route.name,
    targetMs: route.targetMs,
  });
  if (refusal === undefined) return undefined;
  recordDemand(host, team, prompt);
  return createBusyRejection(refusal);
}
