/**
 * Keeps the replica of one table current while this host is a reader of the
 * table: reads a snapshot once, then long-polls for changes. Every failure of
 * the platform leads to another attempt: lost history to a full read, all other
 * failures to a retry after a delay.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import { isLaterEra, isSameEra, type TablePosition } from "./positions.ts";
import type { TableReplica } from "./table_replica.ts";
import { type TableChange, TableError, type TableSource } from "./types.ts";

/** Dependencies of a table follower. */
export interface TableFollowerHost<T> {
  readonly clock: Clock;
  readonly source: TableSource<T>;
  readonly table: TableReplica<T>;
  isReader(): boolean;
  /**
   * Called when the platform has answered; `changed` tells whether the
   * replica's rows changed.
   */
  onAnswer(changed: boolean): void;
  onFailure(err: TableError): void;
  /** Called with an unexpected exception, for example from `onAnswer`. */
  onDefect(defect: unknown): void;
  /** A random number in [0, 1); spreads the retries of many hosts over time. */
  random(): number;
}

/**
 * Maximum duration of one long poll, in ms. A dead connection is detected after
 * this time plus the client's own time-out. Together they leave one second of
 * the 2.5 s within which a new configuration must be in force.
 */
export const LONG_POLL_MS = 1_000;

/**
 * Interval in ms at which a host that is not a reader checks whether it has
 * become one.
 */
const READER_CHECK_INTERVAL_MS = 200;

/**
 * Delay before the next attempt after a failure, in ms; half of it is random
 * jitter.
 */
const RETRY_WAIT_MS = 500;

/**
 * Delay before the next attempt while the replica is still empty, in ms. It is
 * shorter because the host refuses every caller until it has a configuration.
 */
const EMPTY_RETRY_WAIT_MS = 200;

/**
 * During start-up a follower pauses after each answer, so that several changes
 * arrive in one call.
 *
 * A host that has just started does not know yet which hosts are readers. It
 * reads the tables itself for about 5 s in a fleet of 80. Upstreams start at
 * the same time, each of them is one change, and without the pause each change
 * cost one call by every host: 2,508 calls before the first caller arrived. The
 * pause is shorter than half of the time within which a change must be in
 * force. The period counts from the start of the process: a host that replaces
 * another reader later must receive changes without delay.
 */
const STARTUP_MS = 5_000;
const STARTUP_PAUSE_MS = 800;

/**
 * Rejects changes of an era other than the requested position's.
 *
 * Failure prevented: after a restore from an older backup, the platform assigns
 * version numbers again, up to and beyond the version from which this host
 * polls. The poll does not return changes that were written below that version;
 * only a full read does.
 */
export function checkEra<T>(
  change: TableChange<T>,
  requested: TablePosition,
): Effect.Effect<TableChange<T>, TableError> {
  if (isSameEra(change, requested)) return Effect.succeed(change);
  const reason =
    `The platform answered from era ${change.era}, expected era ${requested.era}`;
  const kind = isLaterEra(change, requested) ? "history-lost" : "unreachable";
  return Effect.fail(new TableError({ kind, reason }));
}

/** Follows the table until the effect is interrupted. */
export function followTable<T>(
  host: TableFollowerHost<T>,
): Effect.Effect<never> {
  const startedMs = host.clock.monotonicMs();
  let needsFullRead = true;
  /** Whether no poll has succeeded since the last full read. */
  let hasJustRead = false;
  /**
   * Whether a call has failed since the last successful poll. The platform may
   * have been restored meanwhile, so the next poll must return immediately.
   */
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
        // A peer's snapshot of another era may have replaced the replica
        // meanwhile.
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
    // If the follower ended here, this host would keep its replica unchanged
    // for good. The other hosts would still take it for a reader and would not
    // notice while it answers probes.
    Effect.catchDefect((defect) => {
      host.onDefect(defect);
      return Effect.sleep(RETRY_WAIT_MS);
    }),
  );

  function recover(err: TableError): Effect.Effect<void> {
    if (err.kind === "history-lost") {
      needsFullRead = true;
      // If polling fails right after a full read as well, retrying without a
      // delay would send calls in a tight loop.
      return hasJustRead ? waitWithJitter(RETRY_WAIT_MS) : Effect.void;
    }
    hasFailed = true;
    host.onFailure(err);
    const isKnown = host.table.getPosition().version > 0;
    return waitWithJitter(isKnown ? RETRY_WAIT_MS : EMPTY_RETRY_WAIT_MS);
  }

  /** Waits for between half of the given time and all of it, in ms. */
  function waitWithJitter(ms: number): Effect.Effect<void> {
    return Effect.sleep(ms * (0.5 + host.random() / 2));
  }

  const iteration = Effect.suspend(() =>
    host.isReader() ? step : Effect.sleep(READER_CHECK_INTERVAL_MS)
  );
  return Effect.forever(iteration);
}
