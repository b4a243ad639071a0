/**
 * Fleet-wide reservation of a suspect's content, so that only one request with
 * that content runs at a time.
 *
 * Load: many callers send content that crashes upstreams to many hosts at once.
 * Failure prevented: each host runs the content alone on an upstream, and each
 * loses that upstream.
 *
 * The reservation is not a lease for correctness: when it expires while its
 * host is paused, at most one more upstream may crash.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import * as Effect from "effect/Effect";
import type { GroupCommit } from "../claims/mod.ts";
import type { Clock } from "../core/mod.ts";
import type { Row, TableService } from "../platform/mod.ts";
import { CRASH_TABLE, type CrashRecords, tryGetUnexpired } from "./records.ts";
import { CRASH_LIMIT, type CrashRecord, type TrialResult } from "./types.ts";

/** Time after which a trial is considered lost, in ms. */
const TRIAL_TIMEOUT_MS = 30_000;

/**
 * Time-out for the reservation, in ms. After it the trial starts anyway; then
 * only this host's own suspects are serialized.
 */
const RESERVE_TIMEOUT_MS = 2_000;

/** Dependencies of trials, supplied by the process. */
export interface TrialHost {
  readonly id: string;
  readonly clock: Clock;
  readonly tables: TableService;
  readonly commit: GroupCommit;
}

/** The trials of one host. */
export interface Trials {
  begin(fingerprint: string): Effect.Effect<TrialResult>;
  end(fingerprint: string): Effect.Effect<void>;
}

/** Creates the trials of a host. */
export function createTrials(host: TrialHost, records: CrashRecords): Trials {
  function beginFrom(
    fingerprint: string,
    row: Row,
  ): Effect.Effect<TrialResult> {
    const wallMs = host.clock.wallMs();
    const stored = tryGetUnexpired(row, wallMs);
    if (stored !== undefined) records.merge(stored);
    const known = records.tryGet(fingerprint);
    if (known === undefined || known.crashes >= CRASH_LIMIT) {
      return Effect.succeed("over");
    }
    const trial = stored?.trial;
    const isTaken = trial !== undefined && trial.host !== host.id &&
      trial.untilMs > wallMs;
    if (isTaken) return Effect.succeed("busy");
    const ownTrial = { host: host.id, untilMs: wallMs + TRIAL_TIMEOUT_MS };
    return write(row, { ...known, trial: ownTrial }).pipe(
      Effect.flatMap((result) =>
        result.kind === "conflict"
          ? beginFrom(fingerprint, result.row)
          : Effect.succeed("begun" as const)
      ),
    );
  }

  function write(row: Row, record: CrashRecord) {
    return host.commit.write({
      table: CRASH_TABLE,
      key: record.fingerprint,
      expectedVersion: row.version,
      value: { ...record, writeId: randomUUID() },
    });
  }

  const begun = Effect.succeed("begun" as const);
  return {
    begin: (fingerprint) =>
      host.tables.get(CRASH_TABLE, fingerprint).pipe(
        Effect.flatMap((row) => beginFrom(fingerprint, row)),
        Effect.catchTag("PlatformError", () => begun),
        Effect.timeoutOrElse({
          duration: RESERVE_TIMEOUT_MS,
          orElse: () => begun,
        }),
      ),
    end: (fingerprint) =>
      Effect.gen(function* () {
        const row = yield* host.tables.get(CRASH_TABLE, fingerprint);
        const stored = tryGetUnexpired(row, host.clock.wallMs());
        if (stored?.trial?.host !== host.id) return;
        const { trial: _, ...rest } = stored;
        yield* write(row, rest);
      }).pipe(Effect.catchTag("PlatformError", () => Effect.void)),
  };
}
