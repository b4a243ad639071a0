/**
 * Follows one table at the platform while this host is one of its readers: reads
 * it once, then waits for changes. Every way in which the platform can fail ends
 * in another try: lost history by a whole read, all else by a wait.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import { isLaterEra, isSameEra, type TablePosition } from "./positions.ts";
import type { TableReplica } from "./table_replica.ts";
import { type TableChange, TableError, type TableSource } from "./types.ts";

/** What a follower needs of the process. */
export interface TableFollowerHost<T> {
  readonly clock: Clock;
  readonly source: TableSource<T>;
  readonly table: TableReplica<T>;
  isReader(): boolean;
  /** The platform has answered; `changed` when the copy is another now. */
  onAnswer(changed: boolean): void;
  onFailure(err: TableError): void;
  /** What the host does with the table has failed. */
  onDefect(defect: unknown): void;
  /** From 0 up to 1; spreads the tries of many hosts. */
  random(): number;
}

/**
 * Longest wait for a change in one call, in ms. A connection that went silent
 * shows after this and the client's slack, which together leave a second of the
 * 2.5 s within which a configuration must be in force.
 */
export const LONG_POLL_MS = 1_000;

/** Wait between two looks at whether this host is a reader, in ms. */
const READER_CHECK_INTERVAL_MS = 200;

/** Wait before the next try after a failure, in ms; half of it is random. */
const RETRY_WAIT_MS = 500;

/** While nothing is known every caller is refused, so that a try costs less. */
const EMPTY_RETRY_WAIT_MS = 200;

/**
 * A host that has just started does not know yet who reads, and reads itself, for
 * some five seconds in a fleet of 80. Upstreams start then as well, each of which
 * is a change, and a call by every host: 2,508 calls before the first caller came.
 * So in its first seconds answers are taken a while apart, in which further
 * changes come together. Less than half of the time in which a change must be in
 * force. It counts from the start: a host that takes over from another reader
 * later must not hear of changes late.
 */
const STARTUP_MS = 5_000;
const STARTUP_PAUSE_MS = 800;

/**
 * Failure guarded against: the platform has come back from an older copy, and has
 * given out again the version that was asked from. What it wrote below that
 * version stands in no change; only a whole read shows it.
 */
function checkEra<T>(
  change: TableChange<T>,
  requested: TablePosition,
): Effect.Effect<TableChange<T>, TableError> {
  if (isSameEra(change, requested)) return Effect.succeed(change);
  const reason = `The platform's era is ${change.era}, not ${requested.era}`;
  const kind = isLaterEra(change, requested) ? "history-lost" : "unreachable";
  return Effect.fail(new TableError({ kind, reason }));
}

/** Follows for ever; interrupt it to end. */
export function followTable<T>(
  host: TableFollowerHost<T>,
): Effect.Effect<never> {
  const startedMs = host.clock.monotonicMs();
  let needsFullRead = true;
  /** Nothing has been followed since the last whole read. */
  let hasJustRead = false;
  /** The platform may be another one now; its next answer is wanted at once. */
  let hasFailed = false;

  const read = host.source.read().pipe(Effect.map((snapshot) => {
    needsFullRead = false;
    hasJustRead = true;
    return host.table.replace(snapshot);
  }));

  const poll = Effect.suspend(() => {
    const requested = host.table.getPosition();
    const waitMs = hasFailed ? 0 : LONG_POLL_MS;
    return host.source.pollChanges(requested.version, waitMs).pipe(
      Effect.flatMap((change) => checkEra(change, requested)),
      Effect.map((change) => {
        hasJustRead = false;
        hasFailed = false;
        // Meanwhile a whole copy of another era may have come from a peer.
        const isOtherEra = !isSameEra(requested, host.table.getPosition());
        return isOtherEra ? false : host.table.apply(change);
      }),
    );
  });

  const pauseDuringStartup = Effect.suspend(() =>
    host.clock.monotonicMs() - startedMs > STARTUP_MS
      ? Effect.void
      : Effect.sleep(STARTUP_PAUSE_MS)
  );

  const step = Effect.suspend(() => needsFullRead ? read : poll).pipe(
    Effect.map((changed) => host.onAnswer(changed)),
    Effect.andThen(pauseDuringStartup),
    Effect.catchTag("TableError", (err) => recover(err)),
    // A host that stopped to follow would keep its copy for good, and others,
    // which take it for a reader, would not notice for as long as it answers.
    Effect.catchDefect((defect) => {
      host.onDefect(defect);
      return Effect.sleep(RETRY_WAIT_MS);
    }),
  );

  function recover(err: TableError): Effect.Effect<void> {
    if (err.kind === "history-lost") {
      needsFullRead = true;
      // Without a wait a read that brings no way to follow repeats at once.
      return hasJustRead ? waitWithJitter(RETRY_WAIT_MS) : Effect.void;
    }
    hasFailed = true;
    host.onFailure(err);
    const isKnown = host.table.getPosition().version > 0;
    return waitWithJitter(isKnown ? RETRY_WAIT_MS : EMPTY_RETRY_WAIT_MS);
  }

  /** About so long, in ms; half of it is random. */
  function waitWithJitter(ms: number): Effect.Effect<void> {
    return Effect.sleep(ms * (0.5 + host.random() / 2));
  }

  const iteration = Effect.suspend(() =>
    host.isReader() ? step : Effect.sleep(READER_CHECK_INTERVAL_MS)
  );
  return Effect.forever(iteration);
}
