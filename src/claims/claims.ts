/**
 * Claims of idempotency keys. A request that may run at most once writes its
 * claim to the table service before its first byte is sent upstream. Only the
 * attempt that wrote a claim releases it; no time-out during its retention lets
 * another attempt acquire it. So a holder that was suspended for long may still
 * proceed, since no other attempt has run its request.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import * as Effect from "effect/Effect";
import { type Clock, getDigest } from "../core/mod.ts";
import type { Row, TableService } from "../platform/mod.ts";
import {
  createGroupCommit,
  type GroupCommit,
  type WriteResult,
} from "./group_commit.ts";
import type {
  Claim,
  ClaimInput,
  ClaimResult,
  ClaimRow,
  Claims,
  ClaimState,
  RecordedEnd,
} from "./types.ts";

/** Dependencies of the claims, supplied by the process. */
export interface ClaimsHost {
  readonly id: string;
  /** Start of this process in wall milliseconds. */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly tables: TableService;
  /** Returns a number in [0, 1); selects the keys to sweep. */
  random(): number;
}

const TABLE = "claims";

/**
 * Claims are retained for three days: longer than a weekend, over which a
 * caller's own job queue may hold a retry, and short enough to keep the table
 * small.
 */
export const CLAIM_RETENTION_MS = 72 * 3_600_000;

/**
 * Time-out of acquiring a claim; a slow table service must not hold callers.
 */
export const CLAIM_TIMEOUT_MS = 1_000;

/** Time after a failure of the table service without new claims, in ms. */
export const TABLES_BACKOFF_MS = 1_000;

/** Delay before the first retry of recording an end or a release, in ms. */
const INITIAL_RETRY_DELAY_MS = 100;

/** Upper bound of the delay between retries, in ms. */
const MAX_RETRY_DELAY_MS = 10_000;

/** Attempts to record; with the delays above they span six hours. */
const MAX_RECORD_ATTEMPTS = 2_160;

/**
 * Hexadecimal digits of the key that select the part to sweep: 4096 parts, so
 * that no list of rows is long.
 */
const SWEEP_PREFIX_LENGTH = 3;

/** Creates the claims of one host. */
export function createClaims(host: ClaimsHost): Claims {
  const commit = createGroupCommit(host.tables);
  let backoffUntilMs = 0;

  function recordFailure(): void {
    backoffUntilMs = host.clock.monotonicMs() + TABLES_BACKOFF_MS;
  }

  return {
    create: (input) =>
      createClaim(input, {
        ...host,
        commit,
        recordFailure,
        isBackingOff: () => host.clock.monotonicMs() < backoffUntilMs,
      }),
    sweep: Effect.suspend(() => sweep(host)),
  };
}

interface ClaimContext extends ClaimsHost {
  readonly commit: GroupCommit;
  recordFailure(): void;
  isBackingOff(): boolean;
}

function createClaim(input: ClaimInput, context: ClaimContext): Claim {
  const key = getClaimKey(input);
  /** Row version written by this attempt's last write; 0 before any write. */
  let version = 0;
  /** True from the start of the first write until its outcome is known. */
  let isWriteUncertain = false;
  let isReleaseRequested = false;

  function createRow(state: ClaimState, end?: RecordedEnd): ClaimRow {
    return {
      state,
      attempt: input.attempt,
      writeId: randomUUID(),
      fingerprint: input.fingerprint,
      host: context.id,
      incarnation: context.incarnation,
      expiresMs: context.clock.wallMs() + CLAIM_RETENTION_MS,
      ...(end === undefined ? {} : { end }),
    };
  }

  function write(
    expectedVersion: number,
    value: ClaimRow,
  ): Effect.Effect<WriteResult> {
    return context.commit.write({ table: TABLE, key, expectedVersion, value })
      .pipe(Effect.tap((result) =>
        Effect.sync(() => {
          if (result.kind === "committed") version = expectedVersion + 1;
          if (result.kind === "failed") context.recordFailure();
        })
      ));
  }

  function acquireAt(expectedVersion: number): Effect.Effect<ClaimResult> {
    return write(expectedVersion, createRow("held")).pipe(
      Effect.flatMap((result) => {
        switch (result.kind) {
          case "committed":
            return settle({ kind: "claimed" });
          case "failed":
            return Effect.succeed<ClaimResult>({
              kind: "unavailable",
              reason: result.err.reason,
            });
          case "conflict":
            // If this claim was released meanwhile, acquiring the free row
            // would leave a claim that no attempt uses.
            return !isReleaseRequested &&
                isFree(result.row, context.clock.wallMs())
              ? acquireAt(result.row.version)
              : settle(toResult(result.row, input));
        }
      }),
    );
  }

  function settle(result: ClaimResult): Effect.Effect<ClaimResult> {
    isWriteUncertain = false;
    return Effect.succeed(result);
  }

  const acquire = Effect.suspend(() => {
    if (context.isBackingOff()) {
      const reason = "The table service failed within the last second";
      return Effect.succeed<ClaimResult>({ kind: "unavailable", reason });
    }
    isWriteUncertain = true;
    // The write continues if its caller is interrupted, so that its outcome
    // becomes known.
    return awaitDetached(acquireAt(0)).pipe(Effect.timeoutOrElse({
      duration: CLAIM_TIMEOUT_MS,
      orElse: () =>
        Effect.sync((): ClaimResult => {
          context.recordFailure();
          const reason = `No reply within ${CLAIM_TIMEOUT_MS} ms`;
          return { kind: "unavailable", reason };
        }),
    }));
  });

  function record(row: ClaimRow): Effect.Effect<boolean> {
    const attemptWrite = Effect.suspend(() => write(version, row));
    return retry(attemptWrite).pipe(
      Effect.map((result) => result.kind === "committed"),
    );
  }

  function release(): Effect.Effect<boolean> {
    isReleaseRequested = true;
    if (version === 0 && !isWriteUncertain) return Effect.succeed(true);
    // If the first write is uncertain, the row is read and overwritten at the
    // version found. If the first write arrives after that, it conflicts, since
    // its expected version no longer matches.
    const attemptRelease = Effect.gen(function* () {
      const row = yield* context.tables.get(TABLE, key);
      const found = row.value as ClaimRow | null;
      const isOther = found !== null && found.attempt !== input.attempt;
      if (isOther && !isFree(row, context.clock.wallMs())) return committed;
      if (found?.attempt === input.attempt && found.state === "released") {
        return committed;
      }
      return yield* write(row.version, createRow("released"));
    }).pipe(
      Effect.catchTag(
        "PlatformError",
        (err) => Effect.succeed<WriteResult>({ kind: "failed", err }),
      ),
    );
    return retryUntilCommitted(attemptRelease);
  }

  return {
    acquire,
    recordEnd: (end) => record(createRow("ended", end)),
    recordUnknown: () => record(createRow("unknown")),
    release,
  };
}

const committed: WriteResult = { kind: "committed" };

/**
 * Waits for the effect, which runs to its end even if the wait is interrupted.
 */
function awaitDetached<A>(effect: Effect.Effect<A>): Effect.Effect<A> {
  return Effect.callback<A>((resume) => {
    Effect.runFork(effect.pipe(Effect.map((value) => {
      resume(Effect.succeed(value));
    })));
  });
}

/** Retries failures with exponential back-off, up to the limit of attempts. */
function retry(
  attemptOnce: Effect.Effect<WriteResult>,
  isDone = (result: WriteResult) => result.kind !== "failed",
): Effect.Effect<WriteResult> {
  return Effect.gen(function* () {
    let result = yield* attemptOnce;
    let delayMs = INITIAL_RETRY_DELAY_MS;
    for (
      let attempt = 1;
      attempt < MAX_RECORD_ATTEMPTS && !isDone(result);
      attempt++
    ) {
      yield* Effect.sleep(delayMs);
      delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 3);
      result = yield* attemptOnce;
    }
    return result;
  });
}

function retryUntilCommitted(
  attemptOnce: Effect.Effect<WriteResult>,
): Effect.Effect<boolean> {
  return retry(attemptOnce, (result) => result.kind === "committed").pipe(
    Effect.map((result) => result.kind === "committed"),
  );
}

/** Returns the row's key: a digest, which spreads rows evenly for the sweep. */
export function getClaimKey(
  input: Omit<ClaimInput, "attempt" | "fingerprint">,
): string {
  const { team, service, operation, idempotencyKey } = input;
  return getDigest(JSON.stringify([team, service, operation, idempotencyKey]));
}

function isFree(row: Row, wallMs: number): boolean {
  const found = row.value as ClaimRow | null;
  if (found === null) return true;
  return found.state === "released" || found.expiresMs <= wallMs;
}

function toResult(row: Row, input: ClaimInput): ClaimResult {
  const found = row.value as ClaimRow;
  if (found.fingerprint !== input.fingerprint) return { kind: "other-content" };
  switch (found.state) {
    case "ended":
      return { kind: "ended", end: found.end! };
    case "unknown":
      return { kind: "unknown" };
    case "held":
    case "released":
      return { kind: "under-way", row: found };
  }
}

/**
 * Deletes the expired claims of one part of the keys. The part is random, so
 * that hosts need not agree on who sweeps which part.
 */
function sweep(host: ClaimsHost): Effect.Effect<number> {
  const parts = 16 ** SWEEP_PREFIX_LENGTH;
  const prefix = Math.floor(host.random() * parts).toString(16)
    .padStart(SWEEP_PREFIX_LENGTH, "0");
  return Effect.gen(function* () {
    const rows = yield* host.tables.list(TABLE, prefix);
    const wallMs = host.clock.wallMs();
    const expired = rows.filter((row) =>
      (row.value as ClaimRow).expiresMs <= wallMs
    );
    for (const row of expired) {
      yield* host.tables.transact([{
        table: TABLE,
        key: row.key,
        expectedVersion: row.version,
        value: null,
      }]);
    }
    return expired.length;
  }).pipe(Effect.catchTag("PlatformError", () => Effect.succeed(0)));
}
