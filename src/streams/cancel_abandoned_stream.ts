/**
 * Cancels a stream at its engine after its caller disconnected, unless the
 * caller resumes it at any host within a grace period.
 *
 * Load: callers that disconnect in the middle of long responses. Failure
 * prevented: the engine generates tokens that no caller reads, or its slot is
 * granted to another request while the engine is still generating.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type {
  CancelResult,
  StreamLocation,
  UpstreamClient,
} from "../upstreams/mod.ts";

/** Time for a caller to query `/where` and reconnect, in ms. */
export const RECONNECT_GRACE_MS = 3_000;

/** Delay between attempts to cancel, for a stream that is being read, in ms. */
const CANCEL_RETRY_MS = 1_000;

/** Dependencies of the cancellation. */
export interface AbandonedStreamHost {
  readonly upstreams: Pick<UpstreamClient, "cancelIfUnread">;
  /** True after the deadline of the request. */
  isPastDeadline(): boolean;
  /** False if the caller cannot resume this stream. */
  mayCallerResume(): boolean;
}

/**
 * Retries the cancellation until the engine no longer works on the stream.
 * While the engine cannot be reached or another host reads the stream, it
 * retries until `isPastDeadline`. Returns the number of generated tokens, or 0
 * if it is unknown.
 */
export function cancelAbandonedStream(
  location: StreamLocation,
  host: AbandonedStreamHost,
): Effect.Effect<number> {
  const cancel = host.upstreams.cancelIfUnread(location).pipe(
    Effect.catchTag("UpstreamError", (err) =>
      Effect.succeed<CancelResult>(
        // If connections are refused, the engine's process has ended.
        err.failure === "refused"
          ? { kind: "gone", tokens: 0 }
          : { kind: "being-read" },
      )),
  );
  return Effect.gen(function* () {
    if (host.mayCallerResume()) yield* Effect.sleep(RECONNECT_GRACE_MS);
    while (true) {
      const result = yield* cancel;
      if (result.kind === "gone") return result.tokens;
      if (host.isPastDeadline()) return 0;
      yield* Effect.sleep(CANCEL_RETRY_MS);
    }
  });
}
