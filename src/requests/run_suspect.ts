/**
 * Runs a request on its upstream: normally beside other requests, but alone
 * when its content is a suspect, that is when it was running while an upstream
 * crashed. Requests whose content is in quarantine are refused.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Upstream } from "../types.ts";
import { UpstreamError } from "../upstreams/mod.ts";
import { reject, type RequestRejected } from "./parse.ts";
import { createMayHaveRunReply, createNotRunReply } from "./reply.ts";
import type { Progress, ServeHost } from "./types.ts";
import { checkDeadline } from "./use_slot.ts";

/** Rejects a request whose content is in quarantine. */
export function checkQuarantine(
  host: ServeHost,
  fingerprint: string,
  mayHaveRun: boolean,
): Effect.Effect<void, RequestRejected> {
  return Effect.suspend(() => {
    if (!host.quarantine.isQuarantined(fingerprint)) return Effect.void;
    const options = { args: [host.quarantine.getCrashes(fingerprint)] };
    return reject(
      mayHaveRun
        ? createMayHaveRunReply(422, "quarantined", options)
        : createNotRunReply(422, "quarantined", options),
    );
  });
}

/**
 * Interval between checks whether the trial of another host has ended, in ms.
 */
const TRIAL_POLL_INTERVAL_MS = 250;

/**
 * Runs a request. When its content is a suspect, first waits until no other
 * trial of that content runs in the fleet and no other suspect runs at this
 * host.
 */
export function withTrialIfSuspect<A, E>(
  host: ServeHost,
  input: {
    readonly fingerprint: string;
    readonly deadlineMs: number;
    readonly progress: Progress;
  },
  run: Effect.Effect<A, E>,
): Effect.Effect<A, E | RequestRejected> {
  const { fingerprint } = input;
  const { quarantine } = host;
  return Effect.gen(function* () {
    yield* quarantine.refreshIfPartitioned;
    input.progress.hasTrial = false;
    if (quarantine.getCrashes(fingerprint) === 0) return yield* run;
    yield* waitForTrial(host, input);
    input.progress.hasTrial = true;
    return yield* host.locks.runSerialized(run).pipe(
      Effect.ensuring(
        Effect.sync(() => host.runDetached(quarantine.endTrial(fingerprint))),
      ),
    );
  });
}

/**
 * Waits for the fleet-wide trial reservation of the content. When callers send
 * the same content to many hosts at once, only one attempt runs at a time: the
 * second starts after the result of the first is known.
 */
function waitForTrial(
  host: ServeHost,
  input: {
    readonly fingerprint: string;
    readonly deadlineMs: number;
    readonly progress: Progress;
  },
): Effect.Effect<void, RequestRejected> {
  return Effect.gen(function* () {
    while (true) {
      const result = yield* host.quarantine.beginTrial(input.fingerprint);
      if (result !== "busy") return;
      yield* Effect.sleep(TRIAL_POLL_INTERVAL_MS);
      yield* checkDeadline(host, input);
    }
  });
}

/**
 * Runs the request on the upstream, with exclusive use when the content is a
 * suspect.
 */
export function runAtUpstream<A, E>(
  host: ServeHost,
  input: {
    readonly fingerprint: string;
    /** Monotonic milliseconds. */
    readonly deadlineMs: number;
    readonly upstream: Upstream;
    readonly progress: Progress;
  },
  run: Effect.Effect<A, E>,
): Effect.Effect<A, E | RequestRejected | UpstreamError> {
  const { fingerprint, upstream, progress } = input;
  return Effect.gen(function* () {
    yield* host.quarantine.refreshIfPartitioned;
    yield* checkQuarantine(host, fingerprint, progress.mayHaveRun);
    const isSuspect = host.quarantine.getCrashes(fingerprint) > 0;
    // The content became a suspect while the request waited for its slot.
    if (isSuspect && !progress.hasTrial) yield* failHeldBack();
    progress.hasExclusiveUse = false;
    if (isSuspect) yield* enterExclusively(host, upstream.id, progress);
    else yield* host.locks.acquireShared(upstream.id);
    return yield* checkDeadline(host, input).pipe(
      Effect.flatMap(() => run),
      Effect.ensuring(
        Effect.sync(() => host.locks.release(upstream.id, isSuspect)),
      ),
    );
  });
}

function failHeldBack(): Effect.Effect<never, UpstreamError> {
  const reason =
    "The content is suspected of crashing upstreams and must run alone";
  return Effect.fail(new UpstreamError({ failure: "held-back", reason }));
}

function enterExclusively(
  host: ServeHost,
  upstream: string,
  progress: Progress,
): Effect.Effect<void, RequestRejected> {
  return Effect.gen(function* () {
    progress.hasExclusiveUse = yield* host.locks.acquireExclusive(upstream);
    if (progress.hasExclusiveUse) return;
    const options = { retryAfterMs: 5_000 };
    yield* reject(
      progress.mayHaveRun
        ? createMayHaveRunReply(503, "suspectNotAlone", options)
        : createNotRunReply(503, "suspectNotAlone", options),
    );
  });
}
