/**
 * Fenced leases stored in the table service: at most one host at a time may
 * send orders to an upstream, and each holder gets a higher fencing token than
 * all holders before it.
 *
 * Hosts do not compare wall clocks. A holder measures the lease from before it
 * sent its write; another host measures it on its own monotonic clock from when
 * it first read the row, which is always later. So the holder regards the lease
 * as expired before any other host does. If the reply to a write is lost, the
 * row is read back and recognized by its attempt id.
 *
 * A lease is acquired for one order and then released, so that 600 upstreams
 * cause no writes to the table service while no orders are pending.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import type { PlatformError, Row, TableService } from "../platform/mod.ts";

const TABLE = "leases";

/** Value of a lease's row in the table service. */
export interface LeaseRow {
  readonly holder: string;
  /** Fencing token, incremented by each acquisition. */
  readonly token: number;
  readonly attempt: string;
  readonly durationMs: number;
  /**
   * Wait-out: how long after the lease expired an order that its holder sent
   * may still execute.
   */
  readonly waitOutMs: number;
  readonly isReleased: boolean;
}

/** A lease that this host acquired. */
export interface Lease {
  readonly name: string;
  readonly token: number;
  /** Time left by this host's monotonic clock; negative once it expired. */
  getRemainingMs(): number;
}

/** Dependencies of the leases, supplied by the process. */
export interface LeaseHost {
  readonly id: string;
  readonly clock: Clock;
  readonly tables: TableService;
  createAttemptId(): string;
}

/** Acquires and releases leases. */
export interface Leases {
  /**
   * Acquires the lease. Returns `undefined` while another host may hold it, or
   * while an order that the last holder sent may still execute: until the
   * wait-out after the lease's expiry has passed. The wait-out is the larger of
   * `waitOutMs` and the value in the row.
   */
  tryAcquire(
    name: string,
    waitOutMs: number,
  ): Effect.Effect<Lease | undefined, PlatformError>;
  /** Lets another host acquire the lease at once; the row keeps its token. */
  release(lease: Lease): Effect.Effect<void, PlatformError>;
}

/**
 * Long enough for one order and the reads before it; short, since a lease whose
 * holder died blocks all hosts until it expires.
 */
export const LEASE_DURATION_MS = 10_000;

/**
 * Assumed limit on the rate error of a monotonic clock. Machines keep within
 * 0.05%; this margin of twenty times delays the next holder by 0.1 s for each
 * of the two clocks.
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

/** Creates the leases of one host, which holds none initially. */
export function createLeases(host: LeaseHost): Leases {
  const observedRows = new Map<string, ObservedRow>();
  const heldRows = new Map<Lease, HeldRow>();

  /** Whether this host may acquire the lease, by its own monotonic clock. */
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
      // Measured before the write is sent: the write may take effect at any
      // time after that, and other hosts measure from when they read it.
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

  /**
   * Writes the row; true if the write took effect. If the reply is lost, the
   * attempt id in the row decides.
   */
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
