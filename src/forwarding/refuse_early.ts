/**
 * Refuses by its headers alone a prompt that would wait in vain.
 *
 * Load: a team sends many times its share. Harm prevented: each body was read, a
 * fiber run and a place in the queue kept for half a second, for the same refusal
 * in the end.
 *
 * @module
 */

import type { Route } from "../routing/mod.ts";
import type { ForwardHost } from "./call.ts";
import { createBusyRejection, recordDemand } from "./pick_upstream.ts";
import type { Rejected } from "./rejections.ts";
import type { CallHeaders } from "./types.ts";

/** What is known of a request before its body is read. */
export interface EarlyRefusalInput {
  readonly headers: CallHeaders;
  readonly route: Route;
  readonly team: string | undefined;
}

/** The refusal of a prompt that would wait in vain; `undefined` for others. */
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
