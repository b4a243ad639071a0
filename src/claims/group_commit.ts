/**
 * Group commit of conditional writes: writes that arrive while a transaction is
 * in flight wait and are committed together in the next one.
 *
 * Load: a burst of calls that each need a claim, and a table service that
 * accepts several hundred writes per second from the whole fleet. Failure
 * prevented: one write per call exceeds the service's rate, or a queue of round
 * trips builds up.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type {
  ConditionalWrite,
  PlatformError,
  Row,
  TableService,
} from "../platform/mod.ts";

/** A conditional write whose value carries a unique id. */
export interface IdentifiedWrite extends ConditionalWrite {
  readonly value: { readonly writeId: string };
}

/** Result of one write. */
export type WriteResult =
  | { readonly kind: "committed" }
  /** The write can no longer take effect; `row` is the current row. */
  | { readonly kind: "conflict"; readonly row: Row }
  /** The write may have taken effect, or may do so later or never. */
  | { readonly kind: "failed"; readonly err: PlatformError };

/** Commits writes in groups. */
export interface GroupCommit {
  /** Queues a write. Interrupting the caller does not withdraw it. */
  write(write: IdentifiedWrite): Effect.Effect<WriteResult>;
}

interface Pending {
  readonly write: IdentifiedWrite;
  attempts: number;
  settle(result: WriteResult): void;
}

/** Maximum writes in one transaction, which table services limit. */
export const MAX_GROUP_SIZE = 50;

/** Attempts of a write whose replies are lost and that did not take effect. */
const MAX_ATTEMPTS = 3;

/** Creates a group commit without pending writes. */
export function createGroupCommit(tables: TableService): GroupCommit {
  let pending: Pending[] = [];
  let isRunning = false;

  /**
   * Removes the next group from the queue. Two writes of one row never share a
   * group, since each expects its own version of the row.
   */
  function dequeueGroup(): Pending[] {
    const rows = new Set<string>();
    const group: Pending[] = [];
    const remaining: Pending[] = [];
    for (const each of pending) {
      const row = `${each.write.table}/${each.write.key}`;
      if (group.length >= MAX_GROUP_SIZE || rows.has(row)) remaining.push(each);
      else group.push(each);
      rows.add(row);
    }
    pending = remaining;
    return group;
  }

  const commitAll = Effect.gen(function* () {
    while (pending.length > 0) {
      const group = dequeueGroup();
      const writes = group.map((each) => each.write);
      yield* tables.transact(writes).pipe(
        Effect.flatMap((result) =>
          Effect.sync(() => {
            if (result.kind === "committed") settleAll(group);
            else resolveConflict(group, result.rows);
          })
        ),
        Effect.catchTag("PlatformError", (err) => resolveUncertain(group, err)),
      );
    }
  });

  function start(): void {
    if (isRunning) return;
    isRunning = true;
    Effect.runFork(
      commitAll.pipe(Effect.ensuring(Effect.sync(() => isRunning = false))),
    );
  }

  function settleAll(group: readonly Pending[]): void {
    for (const each of group) each.settle({ kind: "committed" });
  }

  /**
   * Settles the writes that conflict and requeues the others, so that one
   * conflict does not fail the whole group.
   */
  function resolveConflict(
    group: readonly Pending[],
    rows: readonly (Row | undefined)[],
  ): void {
    const unsettled = group.filter((each, index) => {
      const row = rows[index] ?? createAbsentRow(each.write.key);
      return !trySettleByRow(each, row);
    });
    pending = [...unsettled, ...pending];
  }

  /**
   * Handles a failed transaction. If its reply was lost, each write may or may
   * not have taken effect, and its row is read to find out. A write that did
   * not take effect is retried with the same expected version, so that the lost
   * write conflicts if it still arrives.
   */
  function resolveUncertain(
    group: readonly Pending[],
    err: PlatformError,
  ): Effect.Effect<void> {
    if (!err.mayHaveRun) return Effect.sync(() => failAll(group, err));
    return Effect.forEach(group, (each) => resolveByRow(each, err), {
      concurrency: 8,
      discard: true,
    });
  }

  function resolveByRow(
    each: Pending,
    err: PlatformError,
  ): Effect.Effect<void> {
    const { table, key } = each.write;
    return tables.get(table, key).pipe(
      Effect.map((row) => {
        if (trySettleByRow(each, row)) return;
        each.attempts++;
        if (each.attempts < MAX_ATTEMPTS) pending.push(each);
        else each.settle({ kind: "failed", err });
      }),
      Effect.catchTag(
        "PlatformError",
        () => Effect.sync(() => each.settle({ kind: "failed", err })),
      ),
    );
  }

  return {
    write: (write) =>
      Effect.callback<WriteResult>((resume) => {
        pending.push({
          write,
          attempts: 0,
          settle: (result) => resume(Effect.succeed(result)),
        });
        start();
      }),
  };
}

/** Settles the write if the current row shows its outcome; true if it did. */
function trySettleByRow(each: Pending, row: Row): boolean {
  const { expectedVersion, value } = each.write;
  if (row.version === expectedVersion) return false;
  const found = row.value as { writeId?: string } | null;
  if (found?.writeId === value.writeId) each.settle({ kind: "committed" });
  else each.settle({ kind: "conflict", row });
  return true;
}

function failAll(group: readonly Pending[], err: PlatformError): void {
  for (const each of group) each.settle({ kind: "failed", err });
}

function createAbsentRow(key: string): Row {
  return { key, value: null, version: 0 };
}
