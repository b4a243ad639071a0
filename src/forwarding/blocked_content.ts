/**
 * Rejects requests whose content, or a part of whose prompt, is blocked because it
 * crashes upstreams. A block may
 * arrive while a request waits, connects or runs, so that it is checked before
 * each send.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Call, ForwardHost } from "./call.ts";
import { Rejected } from "./rejections.ts";

/** Whether the content of the request, or a part of it, is blocked now. */
export function isContentBlocked(
  { crashes }: ForwardHost,
  { fingerprint, parts }: Call,
): boolean {
  return crashes.isBlocked(fingerprint, parts);
}

/**
 * Returns the rejection of a prompt of which a part is blocked now, before its
 * body is read; `undefined` if none is.
 */
export function tryRejectParts(
  { crashes }: ForwardHost,
  parts: readonly string[],
): Rejected | undefined {
  const culprit = crashes.tryGetCulprit({ fingerprint: "", parts });
  return culprit === undefined ? undefined : createBlockedRejection(culprit);
}

/** Fails if the content of the request, or a part of it, is blocked now. */
export function checkNotBlocked(
  host: ForwardHost,
  call: Call,
): Effect.Effect<void, Rejected> {
  return Effect.suspend(() => {
    const culprit = host.crashes.tryGetCulprit(call);
    return culprit === undefined
      ? Effect.void
      : Effect.fail(createBlockedRejection(culprit));
  });
}

/**
 * Creates the rejection of what is blocked. It is no promise that the request
 * has not run, and gives no time for a retry, which would be rejected as well.
 */
export function createBlockedRejection(culprit: string): Rejected {
  const reason = `Upstreams crashed under this content, ${culprit}`;
  return new Rejected({ status: 502, reason });
}
