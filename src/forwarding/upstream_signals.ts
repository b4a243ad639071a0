/**
 * Handles the signals that upstreams send in response headers: that they are
 * leaving, that another one has their address, that clients should back off, or
 * that they are cold.
 *
 * @module
 */

import type { UpstreamEntry } from "../discovery/mod.ts";
import type { Call, ForwardHost } from "./call.ts";
import type { RequestedBackoff, ResponseHeaders } from "./types.ts";

/** The head of a response. */
export interface ResponseHead {
  readonly upstream: UpstreamEntry;
  readonly status: number;
  readonly headers: Pick<
    ResponseHeaders,
    "isLeaving" | "rejectedBy" | "backoff" | "warmUpLeftMs"
  >;
}

/**
 * Processes the signals in the head of a response, even if the response itself
 * is discarded.
 */
export function recordSignals(
  host: ForwardHost,
  call: Call,
  head: ResponseHead,
): void {
  const { isLeaving, rejectedBy, backoff, warmUpLeftMs } = head.headers;
  if (warmUpLeftMs !== undefined && warmUpLeftMs > 0) {
    host.recordWarmUp(head.upstream, warmUpLeftMs);
  }
  if (isLeaving) {
    logSignal(host, call, head, { said: "leaving" });
    host.markLeaving(head.upstream);
  }
  if (rejectedBy !== undefined && rejectedBy !== head.upstream.id) {
    // The instance has ended. Its registration expires only seconds later, and
    // until then every host would have a request rejected there.
    logSignal(host, call, head, { said: "replaced", text: rejectedBy });
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
  host.backoffs.record(head.upstream, backoff.ms);
}

/**
 * Fields of the log line that describe the signal. The log calls a back-off
 * "rest".
 */
interface SignalFields {
  readonly said: "leaving" | "replaced" | "rest" | "unreadable-rest";
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
