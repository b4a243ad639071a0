/**
 * Runs on an upstream beside others, or alone when the content was running
 * while an upstream failed; and what is told of content that crashes upstreams.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Upstream } from "../types.ts";
import { UpstreamError } from "../upstreams/mod.ts";
import { reject, type RequestRejected } from "./parse.ts";
import { createMayHaveRun, createNotRun } from "./reply.ts";
import type { Progress, ServeHost } from "./types.ts";
import { checkDeadline } from "./use_slot.ts";

/** Refuses content that is in quarantine. */
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
        ? createMayHaveRun(422, "quarantined", options)
        : createNotRun(422, "quarantined", options),
    );
  });
}

/** Pause between looks whether another host's run has ended, in ms. */
const TRIAL_PAUSE_MS = 250;

/** Holds a suspect back until no other run of it, or of a suspect here, goes on. */
export function takeTurn<A, E>(
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
    yield* quarantine.catchUp;
    input.progress.hasTurn = false;
    if (quarantine.getCrashes(fingerprint) === 0) return yield* run;
    yield* waitForTrial(host, input);
    input.progress.hasTurn = true;
    return yield* host.occupancy.runSerialized(run).pipe(
      Effect.ensuring(
        Effect.sync(() => host.runDetached(quarantine.endTrial(fingerprint))),
      ),
    );
  });
}

/**
 * Callers that send the same content at many hosts at once get one run of it at
 * a time: the second learns how the first ended before it begins.
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
      yield* Effect.sleep(TRIAL_PAUSE_MS);
      yield* checkDeadline(host, input);
    }
  });
}

/** Runs on the upstream, alone when the content is a suspect. */
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
    yield* host.quarantine.catchUp;
    yield* checkQuarantine(host, fingerprint, progress.mayHaveRun);
    const isSuspect = host.quarantine.getCrashes(fingerprint) > 0;
    // It came under suspicion while it waited for its slot.
    if (isSuspect && !progress.hasTurn) yield* holdBack();
    progress.isAlone = false;
    if (isSuspect) yield* enterAlone(host, upstream.id, progress);
    else yield* host.occupancy.acquireShared(upstream.id);
    return yield* checkDeadline(host, input).pipe(
      Effect.flatMap(() => run),
      Effect.ensuring(
        Effect.sync(() => host.occupancy.release(upstream.id, isSuspect)),
      ),
    );
  });
}

function holdBack(): Effect.Effect<never, UpstreamError> {
  const reason = "A request with this content has to run alone";
  return Effect.fail(new UpstreamError({ failure: "held-back", reason }));
}

function enterAlone(
  host: ServeHost,
  upstream: string,
  progress: Progress,
): Effect.Effect<void, RequestRejected> {
  return Effect.gen(function* () {
    progress.isAlone = yield* host.occupancy.acquireExclusive(upstream);
    if (progress.isAlone) return;
    const options = { retryAfterMs: 5_000 };
    yield* reject(
      progress.mayHaveRun
        ? createMayHaveRun(503, "suspectNotAlone", options)
        : createNotRun(503, "suspectNotAlone", options),
    );
  });
}
