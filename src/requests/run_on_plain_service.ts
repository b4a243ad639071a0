/**
 * Calls a plain service and records what the call shows of the request's
 * progress.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { SlotHandle } from "../slots/mod.ts";
import type { AdmittedRequest } from "../types.ts";
import type { PlainResponse, UpstreamError } from "../upstreams/mod.ts";
import type { ParsedCall } from "./parse.ts";
import { getRemainingMs, type Progress, type ServeHost } from "./types.ts";

/** Input of a call. */
export interface PlainAttempt {
  readonly host: ServeHost;
  readonly admitted: AdmittedRequest;
  readonly call: ParsedCall;
  readonly progress: Progress;
}

/**
 * Calls the service. The call counts as sent from the start; only a refused
 * connection proves that it was not.
 */
export function runOnPlainService(
  attempt: PlainAttempt,
  slot: SlotHandle,
): Effect.Effect<PlainResponse, UpstreamError> {
  const { host, admitted, call, progress } = attempt;
  return Effect.gen(function* () {
    const startMs = host.clock.monotonicMs();
    progress.isSent = true;
    const answer = yield* host.upstreams.call({
      address: slot.upstream.address,
      operation: admitted.operation,
      request: admitted.id,
      idempotencyKey: call.idempotencyKey,
      body: call.body,
      timeoutMs: getRemainingMs(host, admitted),
    });
    progress.firstByteMs = host.clock.monotonicMs() - startMs;
    progress.cost = 1;
    return answer;
  }).pipe(
    Effect.tapError((err) =>
      Effect.sync(() => {
        if (err.failure === "refused") progress.isSent = false;
        else progress.mayHaveRun = true;
      })
    ),
  );
}
