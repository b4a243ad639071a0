/**
 * The record of accepted configurations on the platform. One transaction
 * accepts a version: it moves the head row from the operator's base version to
 * the next one and writes the row of the new version. The files are written to
 * the object store first, so that a row never refers to files that do not
 * exist.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import {
  type ConditionalWrite,
  parseJson,
  type Platform,
  type PlatformError,
  type Row,
} from "../platform/mod.ts";
import type { Deployment } from "../types.ts";
import {
  type ConflictDetails,
  emptyDeployment,
  getConflictDetails,
} from "./differences.ts";
import { decodeFileSet, type FileSet, getFileSetDigest } from "./load.ts";

const TABLE = "config";
const HEAD_KEY = "head";
const VERSION_PREFIX = "version/";
const VERSION_DIGITS = 10;

/** The history is read in blocks of 1,000 versions, about a day's changes. */
const BLOCK_DIGITS = 3;

/**
 * How often the transaction of one attempt is sent. Each is conditional on the
 * same head version, so that a repeat after a lost reply can't accept twice.
 */
const MAX_COMMIT_WRITES = 3;

/** The row of one accepted version. */
export interface VersionRow {
  readonly version: number;
  readonly digest: string;
  readonly parent: number;
  readonly author: string;
  readonly acceptedMs: number;
  /**
   * Id of the operator's attempt, by which a writer recognises its own write.
   */
  readonly attempt: string;
}

/** The outcome of an attempt to have a configuration accepted. */
export type AcceptResult =
  | { readonly kind: "accepted"; readonly row: VersionRow }
  | {
    readonly kind: "conflict";
    readonly head: VersionRow;
    readonly details: ConflictDetails;
  }
  /**
   * The platform failed after a write. A request with the same attempt id finds
   * out whether it was accepted.
   */
  | { readonly kind: "unknown"; readonly reason: string };

/** An operator's request to have a configuration accepted. */
export interface AcceptRequest {
  readonly files: FileSet;
  /** The version that the operator started from; 0 for an empty record. */
  readonly baseVersion: number;
  readonly author: string;
  readonly attempt: string;
  readonly nowMs: number;
}

/** Reads and extends the record of configurations. */
export interface ConfigStore {
  getHead(): Effect.Effect<VersionRow | undefined, PlatformError>;
  tryGetVersion(
    version: number,
  ): Effect.Effect<VersionRow | undefined, PlatformError>;
  tryGetFiles(
    digest: string,
  ): Effect.Effect<FileSet | undefined, PlatformError>;
  /** The latest versions, oldest first: whole blocks with at least `limit`. */
  getHistory(
    limit?: number,
  ): Effect.Effect<readonly VersionRow[], PlatformError>;
  /** Throws `ConfigError` for files that can't be decoded. */
  accept(req: AcceptRequest): Effect.Effect<AcceptResult, PlatformError>;
}

const noVersion: VersionRow = {
  version: 0,
  digest: "",
  parent: 0,
  author: "",
  acceptedMs: 0,
  attempt: "",
};

/** Makes a store that uses the platform's table and object services. */
export function createConfigStore(platform: Platform): ConfigStore {
  const { tables, objects } = platform;

  function getHeadRow() {
    return tables.get(TABLE, HEAD_KEY);
  }

  function tryGetVersion(version: number) {
    return tables.get(TABLE, getVersionKey(version)).pipe(
      Effect.map(toVersionRow),
    );
  }

  function tryGetFiles(digest: string) {
    return objects.tryGet(digest).pipe(
      Effect.flatMap((text) =>
        text === undefined
          ? Effect.succeed(undefined)
          : parseJson<FileSet>(text)
      ),
    );
  }

  function accept(req: AcceptRequest) {
    return Effect.gen(function* () {
      decodeFileSet(req.files);
      const headRow = yield* getHeadRow();
      const head = toVersionRow(headRow) ?? noVersion;
      if (head.version !== req.baseVersion) return yield* getOutcome(req, head);
      const digest = getFileSetDigest(req.files);
      yield* objects.put(digest, JSON.stringify(req.files));
      const row: VersionRow = {
        version: req.baseVersion + 1,
        digest,
        parent: req.baseVersion,
        author: req.author,
        acceptedMs: req.nowMs,
        attempt: req.attempt,
      };
      return yield* commit(req, createWrites(row, headRow.version), row);
    });
  }

  /**
   * Sends the transaction until its outcome is known. Failure prevented: the
   * reply is lost after the write took effect, and the operator is told of a
   * failure although the version is in force. If the head has not moved, the
   * write is sent again; at most one of the writes can take effect.
   */
  function commit(
    req: AcceptRequest,
    writes: readonly ConditionalWrite[],
    row: VersionRow,
  ): Effect.Effect<AcceptResult, PlatformError> {
    return Effect.gen(function* () {
      let mayHaveRun = false;
      let reason = "";
      for (let commits = 0; commits < MAX_COMMIT_WRITES; commits++) {
        const result = yield* Effect.result(tables.transact(writes));
        if (result._tag === "Success") {
          if (result.success.kind === "committed") {
            return { kind: "accepted", row };
          }
          return yield* readBack(req);
        }
        const err = result.failure;
        mayHaveRun ||= err.mayHaveRun;
        if (!mayHaveRun) return yield* Effect.fail(err);
        reason = err.reason;
        const head = yield* Effect.result(getHeadRow());
        if (head._tag === "Failure") continue;
        const found = toVersionRow(head.success) ?? noVersion;
        if (found.version !== req.baseVersion) return yield* readBack(req);
      }
      return { kind: "unknown", reason };
    });
  }

  /**
   * Reads the outcome of a write that may have taken effect; it stays unknown
   * if the read fails.
   */
  function readBack(req: AcceptRequest): Effect.Effect<AcceptResult> {
    return getHeadRow().pipe(
      Effect.flatMap((row) => getOutcome(req, toVersionRow(row) ?? noVersion)),
      Effect.catchTag("PlatformError", (err) =>
        Effect.succeed<AcceptResult>({
          kind: "unknown",
          reason: err.reason,
        })),
    );
  }

  /**
   * Finds out whether this attempt or another operator's moved the head. The
   * row of the version after the base shows whose attempt it was, even if later
   * versions were accepted since; the head row does not.
   */
  function getOutcome(
    req: AcceptRequest,
    head: VersionRow,
  ): Effect.Effect<AcceptResult, PlatformError> {
    return Effect.gen(function* () {
      const next = yield* tryGetVersion(req.baseVersion + 1);
      if (next?.attempt === req.attempt) return { kind: "accepted", row: next };
      const details = getConflictDetails(
        yield* getDeployment(yield* tryGetVersion(req.baseVersion)),
        {
          inForce: yield* getDeployment(head),
          requested: decodeFileSet(req.files),
        },
      );
      return { kind: "conflict", head, details };
    });
  }

  /** The deployment of a version; empty if its files can't be decoded. */
  function getDeployment(
    row: VersionRow | undefined,
  ): Effect.Effect<Deployment, PlatformError> {
    if (row === undefined || row.version === 0) {
      return Effect.succeed(emptyDeployment);
    }
    return tryGetFiles(row.digest).pipe(Effect.map((files) => {
      try {
        return files === undefined ? emptyDeployment : decodeFileSet(files);
      } catch {
        return emptyDeployment;
      }
    }));
  }

  function getHistory(limit = 1_000) {
    return Effect.gen(function* () {
      const head = toVersionRow(yield* getHeadRow());
      const rows: VersionRow[] = [];
      let block = Math.floor((head?.version ?? 0) / 10 ** BLOCK_DIGITS);
      while (block >= 0 && rows.length < limit) {
        const found = yield* tables.list(TABLE, getBlockPrefix(block));
        rows.unshift(...found.map((row) => row.value as VersionRow));
        block--;
      }
      return rows;
    });
  }

  return {
    getHead: () => getHeadRow().pipe(Effect.map(toVersionRow)),
    tryGetVersion,
    tryGetFiles,
    getHistory,
    accept,
  };
}

function getVersionKey(version: number): string {
  return VERSION_PREFIX + String(version).padStart(VERSION_DIGITS, "0");
}

function getBlockPrefix(block: number): string {
  const digits = VERSION_DIGITS - BLOCK_DIGITS;
  return VERSION_PREFIX + String(block).padStart(digits, "0");
}

function createWrites(
  row: VersionRow,
  headRowVersion: number,
): readonly ConditionalWrite[] {
  return [
    {
      table: TABLE,
      key: HEAD_KEY,
      expectedVersion: headRowVersion,
      value: row,
    },
    {
      table: TABLE,
      key: getVersionKey(row.version),
      expectedVersion: 0,
      value: row,
    },
  ];
}

function toVersionRow(row: Row): VersionRow | undefined {
  return row.version === 0 ? undefined : row.value as VersionRow;
}
