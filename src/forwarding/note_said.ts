/**
 * What upstreams say of themselves in their answers: that they leave, or that
 * they want no requests for a while.
 *
 * @module
 */

import type { UpstreamEntry } from "../discovery/mod.ts";
import type { Call, ForwardHost } from "./call.ts";
import type { ResponseHeaders, RequestedBackoff } from "./types.ts";

/** An answer whose head has been read. */
export interface Said {
  readonly upstream: UpstreamEntry;
  readonly status: number;
  readonly headers: Pick<ResponseHeaders, "isLeaving" | "rest">;
}

/** Takes in what the upstream says, whatever becomes of the answer. */
export function noteSaid(host: ForwardHost, call: Call, said: Said): void {
  const { isLeaving, backoff: rest } = said.headers;
  if (isLeaving) {
    log(host, call, said, { said: "leaving" });
    host.markLeaving(said.upstream);
  }
  if (rest !== undefined) noteRest(host, call, said, rest);
}

function noteRest(
  host: ForwardHost,
  call: Call,
  said: Said,
  rest: RequestedBackoff,
): void {
  if (rest.kind === "unreadable") {
    log(host, call, said, { said: "unreadable-rest", text: rest.text });
    return;
  }
  log(host, call, said, { said: "rest", restMs: Math.round(rest.ms) });
  host.backoffs.note(said.upstream, rest.ms);
}

/** What a line adds to the answer. */
interface Line {
  readonly said: "leaving" | "rest" | "unreadable-rest";
  readonly restMs?: number;
  readonly text?: string;
}

function log(
  host: ForwardHost,
  call: Call,
  { upstream, status }: Said,
  { said, restMs, text }: Line,
): void {
  host.log({
    event: "upstream-said",
    request: call.headers.requestId,
    upstream: upstream.id,
    incarnation: upstream.incarnation,
    status,
    said,
    restMs,
    text,
  });
}
