/**
 * Streams of upstreams that fall silent, as one caller receives them.
 *
 * @module
 */

import { deepStrictEqual } from "node:assert";
import type { CallerResponse } from "./forward_callers.ts";
import {
  type Behaviour,
  createForwardFixture,
  type FixtureOptions,
  type ForwardFixture,
} from "./forward_fixture.ts";
import { type StreamingUpstream, WHOLE_STREAM } from "./silent_upstreams.ts";

/** A route whose callers abandon a stream after two seconds without an event. */
export const streamRoute = {
  kind: "stream",
  targetMs: 400,
  pauseTargetMs: 200,
  timeoutMs: 4_000,
} as const;

/** Starts an entry host with upstreams of streams. */
export function createStreamFixture(
  behaviours: readonly Behaviour[],
  options?: FixtureOptions,
): Promise<ForwardFixture> {
  return createForwardFixture(behaviours, streamRoute, options);
}

/** Asserts that the caller got a complete stream. */
export function assertWholeStream(
  { status, body, isTruncated }: CallerResponse,
  expected = WHOLE_STREAM,
): void {
  deepStrictEqual([status, body, isTruncated], [200, expected, false]);
}

/** Asserts that a stream ends complete at the only upstream that began one. */
export async function assertStreamGoesOn(
  fixture: ForwardFixture,
  { first, other }: {
    readonly first: StreamingUpstream;
    readonly other?: StreamingUpstream;
  },
): Promise<void> {
  assertWholeStream(await fixture.call());
  deepStrictEqual(first.requests.length, 1);
  deepStrictEqual(other?.requests.length ?? 0, 0);
}
