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
export interface ResponseHead {
  readonly upstream: UpstreamEntry;
  readonly status: number;
  readonly headers: Pick<ResponseHeaders, "isLeaving" | "rest">;
}

/** Takes in what the upstream says, whatever becomes of the answer. */
export function recordSignals(host: ForwardHost, call: Call, head: ResponseHead): void {
  const { isLeaving, backoff: rest } = head.headers;
  if (isLeaving) {
    logSignal(host, call, head, { said: "leaving" });
    host.markLeaving(head.upstream);
  }
  if (rest !== undefined) recordBackoff(host, call, head, rest);
}

function recordBackoff(
  host: ForwardHost,
  call: Call,
  head: ResponseHead,
  rest: RequestedBackoff,
): void {
  if (rest.kind === "unreadable") {
    logSignal(host, call, head, { said: "unreadable-rest", text: rest.text });
    return;
  }
  logSignal(host, call, head, { said: "rest", restMs: Math.round(rest.ms) });
  host.backoffs.note(head.upstream, rest.ms);
}

/** What a line adds to the answer. */
interface SignalFields {
  readonly said: "leaving" | "rest" | "unreadable-rest";
  readonly restMs?: number;
  readonly text?: string;
}

function logSignal(
  host: ForwardHost,
  call: Call,
  { upstream, status }: ResponseHead,
  { said, restMs, text }: SignalFields,
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
