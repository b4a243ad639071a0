/**
 * What upstreams say of themselves in their answers: that they leave, or that
 * they want no requests for a while.
 *
 * @module
 */

import type { UpstreamEntry } from "../discovery/mod.ts";
import type { Call, ForwardHost } from "./call.ts";
import type { RequestedBackoff, ResponseHeaders } from "./types.ts";

/** An answer whose head has been read. */
export interface ResponseHead {
  readonly upstream: UpstreamEntry;
  readonly status: number;
  readonly headers: Pick<ResponseHeaders, "isLeaving" | "backoff">;
}

/** Takes in what the upstream says, whatever becomes of the answer. */
export function recordSignals(
  host: ForwardHost,
  call: Call,
  head: ResponseHead,
): void {
  const { isLeaving, backoff } = head.headers;
  if (isLeaving) {
    logSignal(host, call, head, { said: "leaving" });
    host.markLeaving(head.upstream);
  }
  if (backoff !== undefined) recordBackoff(host, call, head, backoff);
}

function recordBackoff(
  host: ForwardHost,
  call: Call,
  head: ResponseHead,
  backoff: RequestedBackoff,
): void {
  if (backoff.kind === "unreadable") {
    logSignal(host, call, head, {
      said: "unreadable-rest",
      text: backoff.text,
    });
    return;
  }
  logSignal(host, call, head, { said: "rest", restMs: Math.round(backoff.ms) });
  host.backoffs.note(head.upstream, backoff.ms);
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
