/**
 * Gathers conditional writes: while one transaction is under way the next
 * writes wait, and then go together in one.
 *
 * Load: a burst of calls that each need a claim, and a store that takes several
 * hundred writes a second from the whole fleet. Harm prevented: one write for
 * each call uses up the store's rate, or a queue of round trips builds up.
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

/** A write whose value tells it from every other write. */
export interface IdentifiedWrite extends ConditionalWrite {
  readonly value: { readonly writeId: string };
}

/** What became of one write. */
export type WriteResult =
  | { readonly kind: "committed" }
  /** The row as it is; the write can no longer take effect. */
  | { readonly kind: "conflict"; readonly row: Row }
  /** The write may take effect now, later or never. */
  | { readonly kind: "failed"; readonly err: PlatformError };

/** Commits writes in groups. */
export interface GroupCommit {
  /** Interrupting a waiting caller does not take the write back. */
  write(write: IdentifiedWrite): Effect.Effect<WriteResult>;
}

interface Pending {
  readonly write: IdentifiedWrite;
  attempts: number;
  settle(result: WriteResult): void;
}

/** Writes in one transaction at most; table services limit them. */
export const MAX_GROUP_SIZE = 50;

/** Tries of one write whose reply is lost and that reads back as not there. */
const MAX_ATTEMPTS = 3;

/** Makes a committer with nothing to commit. */
export function createGroupCommit(tables: TableService): GroupCommit {
  let pending: Pending[] = [];
  let isRunning = false;

  /** Two writes of one row never share a group: each needs its own version. */
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

  /** One write's conflict must not fail the others: they go again at once. */
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
   * The reply was lost, so each write may stand or not. Its row tells; a write
   * that is not there goes again with the same expected version, so that the
   * lost one, should it still arrive, meets a conflict.
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

/** True when the row as it is decides the write's fate. */
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
