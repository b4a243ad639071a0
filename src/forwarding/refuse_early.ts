/**
 * Refuses a prompt by its headers alone if it would certainly be refused by the
 * queue later.
 *
 * Load: a team sends many times its share.
 *
 * Failure prevented: for each refused prompt the body was read, a fiber was
 * run, and a place in the queue was held for half a second.
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
 * Returns the rejection of a prompt that would wait in vain; `undefined` if the
 * request may proceed.
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
