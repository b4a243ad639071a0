/**
 * What happens to a stream whose caller vanished: after a grace, in which the
 * caller may resume it at any host, it is cancelled at its engine.
 *
 * Load: callers that hang up in the middle of long answers. Harm prevented: the
 * engine works on for nobody, or its slot is given away while it still works.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type {
  CancelResult,
  StreamLocation,
  UpstreamClient,
} from "../upstreams/mod.ts";

/** Time for a caller to come back, in ms: a reconnect and a look at `where`. */
export const GRACE_MS = 3_000;

/** Pause between looks at a stream that another host reads, in ms. */
const LOOK_AGAIN_MS = 1_000;

/** What abandoning needs. */
export interface AbandonHost {
  readonly upstreams: Pick<UpstreamClient, "cancelIfUnread">;
  /** True once the work is of no use to anyone, as after its deadline. */
  isOver(): boolean;
  /** False when the caller won't come back for this stream. */
  givesGrace(): boolean;
}

/**
 * Ends when the engine no longer works on the stream, or can't be asked until
 * `isOver`; gives the tokens that it made, 0 when not told.
 */
export function abandonStream(
  place: StreamLocation,
  host: AbandonHost,
): Effect.Effect<number> {
  const cancel = host.upstreams.cancelIfUnread(place).pipe(
    Effect.catchTag("UpstreamError", (err) =>
      Effect.succeed<CancelResult>(
        // A process that refuses connections works on nothing.
        err.failure === "refused"
          ? { kind: "gone", tokens: 0 }
          : { kind: "being-read" },
      )),
  );
  return Effect.gen(function* () {
    if (host.givesGrace()) yield* Effect.sleep(GRACE_MS);
    while (true) {
      const result = yield* cancel;
      if (result.kind === "gone") return result.tokens;
      if (host.isOver()) return 0;
      yield* Effect.sleep(LOOK_AGAIN_MS);
    }
  });
}
