/**
 * Fenced leases on the table service: at most one host at a time may give
 * orders to an upstream, and each holder has a higher token than all before.
 *
 * No wall clocks are compared. A holder counts from before it sent its write;
 * an observer counts from when it first saw the row, on its own monotonic
 * clock, so that the observer's count always ends later. A row is read back by
 * its attempt id when a reply is lost.
 *
 * A lease is held for one order and released: 600 upstreams cost the service
 * nothing while there is nothing to order.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import type { PlatformError, Row, TableService } from "../platform/mod.ts";

const TABLE = "leases";

/** The row of a lease. */
export interface LeaseRow {
  readonly holder: string;
  /** The fencing token: one higher for each holding. */
  readonly token: number;
  readonly attempt: string;
  readonly durationMs: number;
  /** What the holder may have begun ends so long after the lease. */
  readonly waitOutMs: number;
  readonly isReleased: boolean;
}

/** A lease in the hands of this host. */
export interface Lease {
  readonly name: string;
  readonly token: number;
  /** Time left by this host's monotonic clock; negative when it lapsed. */
  getRemainingMs(): number;
}

/** What leases need of the process. */
export interface LeaseHost {
  readonly id: string;
  readonly clock: Clock;
  readonly tables: TableService;
  createAttemptId(): string;
}

/** Acquires and releases leases. */
export interface Leases {
  /**
   * The lease, or `undefined` while another host may hold it or may have begun
   * something that has not ended: `waitOutMs` after its lease.
   */
  tryAcquire(
    name: string,
    waitOutMs: number,
  ): Effect.Effect<Lease | undefined, PlatformError>;
  /** Lets the next holder begin at once; the row keeps its token. */
  release(lease: Lease): Effect.Effect<void, PlatformError>;
}

/** Long enough for one order with its reads, short for a host that died. */
export const LEASE_DURATION_MS = 10_000;

/**
 * Two monotonic clocks may run apart by so much. Machines keep within 0.05%;
 * twenty times that costs the next holder a tenth of a second.
 */
const MAX_CLOCK_RATE_ERROR = 0.01;

interface ObservedRow {
  readonly rowVersion: number;
  readonly sinceMs: number;
}

interface HeldRow {
  readonly row: LeaseRow;
  readonly rowVersion: number;
}

/** Makes the leases of one host; it holds none. */
export function createLeases(host: LeaseHost): Leases {
  const observedRows = new Map<string, ObservedRow>();
  const heldRows = new Map<Lease, HeldRow>();

  /** Whether the row is free by this host's own count. */
  function isAvailable(name: string, row: Row, waitOutMs: number): boolean {
    if (row.version === 0) return true;
    const value = row.value as LeaseRow;
    if (value.isReleased) return true;
    const nowMs = host.clock.monotonicMs();
    const seen = observedRows.get(name);
    if (seen?.rowVersion !== row.version) {
      observedRows.set(name, { rowVersion: row.version, sinceMs: nowMs });
      return false;
    }
    const expiresAfterMs = value.durationMs * (1 + 2 * MAX_CLOCK_RATE_ERROR) +
      Math.max(waitOutMs, value.waitOutMs);
    return nowMs - seen.sinceMs >= expiresAfterMs;
  }

  function tryAcquire(name: string, waitOutMs: number) {
    return Effect.gen(function* () {
      const found = yield* host.tables.get(TABLE, name);
      if (!isAvailable(name, found, waitOutMs)) return undefined;
      const row: LeaseRow = {
        holder: host.id,
        token: ((found.value as LeaseRow | null)?.token ?? 0) + 1,
        attempt: host.createAttemptId(),
        durationMs: LEASE_DURATION_MS,
        waitOutMs,
        isReleased: false,
      };
      // Counted from before the write is sent: it may take effect at any time
      // after, and the others count from then.
      const sentMs = host.clock.monotonicMs();
      const isAcquired = yield* write(name, row, found.version);
      if (!isAcquired) return undefined;
      const lease = createLease(name, row.token, sentMs);
      heldRows.set(lease, { row, rowVersion: found.version + 1 });
      return lease;
    });
  }

  function createLease(name: string, token: number, sentMs: number): Lease {
    return {
      name,
      token,
      getRemainingMs: () =>
        sentMs + LEASE_DURATION_MS - host.clock.monotonicMs(),
    };
  }

  /** Whether the row is ours, also when the reply to our write was lost. */
  function write(
    name: string,
    row: LeaseRow,
    expectedVersion: number,
  ): Effect.Effect<boolean, PlatformError> {
    const writes = [{ table: TABLE, key: name, expectedVersion, value: row }];
    return host.tables.transact(writes).pipe(
      Effect.map((result) => result.kind === "committed"),
      Effect.catchTag("PlatformError", (err) => {
        if (!err.mayHaveRun) return Effect.fail(err);
        return host.tables.get(TABLE, name).pipe(
          Effect.map((found) =>
            (found.value as LeaseRow | null)?.attempt === row.attempt
          ),
        );
      }),
    );
  }

  return {
    tryAcquire,
    release: (lease) =>
      Effect.suspend(() => {
        const heldRow = heldRows.get(lease);
        if (heldRow === undefined) return Effect.void;
        heldRows.delete(lease);
        const row = { ...heldRow.row, isReleased: true };
        return write(lease.name, row, heldRow.rowVersion).pipe(Effect.asVoid);
      }),
  };
}
