/**
 * Rejects content that is blocked because it crashes upstreams. A block may
 * arrive while a request waits, connects or runs, so that it is checked before
 * each send.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Call, ForwardHost } from "./call.ts";
import { Rejected } from "./rejections.ts";

/** Whether the content of the request is blocked now. */
export function isContentBlocked(host: ForwardHost, call: Call): boolean {
  return host.crashes.isBlocked(call.fingerprint);
}

/** Fails if the content of the request is blocked now. */
export function checkNotBlocked(
  host: ForwardHost,
  call: Call,
): Effect.Effect<void, Rejected> {
  return Effect.suspend(() =>
    isContentBlocked(host, call)
      ? Effect.fail(createBlockedRejection(call))
      : Effect.void
  );
}

/**
 * Creates the rejection of blocked content. It is no promise that the content
 * has not run, and gives no time for a retry, which would be rejected as well.
 */
export function createBlockedRejection(call: Call): Rejected {
  const reason = `Upstreams crashed under this content, ${call.fingerprint}`;
  return new Rejected({ status: 502, reason });
}
