/**
 * Decodes what hosts tell each other of the platform's tables: the reports of
 * readers, and copies of whole tables.
 *
 * Failure prevented: a host of older or newer software, or one that was misled
 * itself, passes on a row that this host can't use. One such row would keep all
 * others from being in force, here and at each host that fetches from here.
 *
 * @module
 */

import * as Schema from "effect/Schema";
import type { ReaderReport, TableName } from "./table_distribution.ts";
import type { TableRow, TableSnapshot } from "./types.ts";

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));
const Age = Schema.optional(
  Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0)),
);
const Texts = Schema.Array(Schema.String);

const Position = { era: Schema.optional(Count), version: Count };

const Report = Schema.Struct({
  ...Position,
  readMsAgo: Age,
  turnedAwayMsAgo: Age,
});

const Reports = Schema.Struct({
  peerAddress: Schema.String,
  tables: Schema.Struct({ config: Report, upstreams: Report }),
});

const Copy = Schema.Struct({
  ...Position,
  rows: Schema.Array(Schema.Unknown),
});

const Upstream = Schema.Struct({
  id: Schema.String,
  service: Schema.String,
  dataCentre: Schema.String,
  address: Schema.String,
  slots: Schema.Int.check(Schema.isGreaterThanOrEqualTo(1)),
  state: Schema.Literals(["ready", "leaving"]),
  incarnation: Schema.Int,
  warmUpLeftMs: Schema.optional(Schema.Finite),
  softwareVersion: Schema.optional(Schema.String),
});

const Configuration = Schema.Struct({
  version: Schema.Finite,
  routes: Schema.Array(Schema.Struct({
    name: Schema.String,
    hostName: Schema.String,
    pathPrefix: Schema.String,
    kind: Schema.Literals(["idempotent", "at-most-once", "stream"]),
    services: Schema.Array(Schema.Struct({
      service: Schema.String,
      weight: Schema.Finite,
    })),
    timeoutMs: Schema.Finite,
    targetMs: Schema.Finite,
    rank: Schema.Finite,
    maxAttempts: Schema.Finite,
    allowedRegions: Texts,
  })),
  services: Schema.Array(Schema.Struct({ name: Schema.String })),
  teams: Schema.Array(Schema.Struct({
    name: Schema.String,
    keys: Texts,
    allowedRegions: Texts,
  })),
  callerLimits: Schema.Struct({
    maxHeaderBytes: Schema.Finite,
    maxBodyBytes: Schema.Finite,
    headerTimeoutMs: Schema.Finite,
    idleTimeoutMs: Schema.Finite,
  }),
  problems: Texts,
});

const Operators = Schema.Union([
  Schema.Struct({
    kind: Schema.Literal("configuration"),
    config: Configuration,
  }),
  Schema.Struct({
    kind: Schema.Literal("evacuation"),
    dataCentre: Schema.String,
  }),
]);

const isRow: Readonly<Record<TableName, (row: unknown) => boolean>> = {
  config: Schema.is(createRow(Operators)),
  upstreams: Schema.is(createRow(Upstream)),
};

function createRow<S extends Schema.Top>(value: S) {
  return Schema.Struct({ key: Schema.String, version: Count, value });
}

const decodeReport = Schema.decodeUnknownSync(Reports);
const decodeCopy = Schema.decodeUnknownSync(Copy);

/** Decodes a reader's report; `undefined` for one that makes no sense here. */
export function tryDecodeReport(text: string): ReaderReport | undefined {
  try {
    return decodeReport(JSON.parse(text)) as ReaderReport;
  } catch {
    return undefined;
  }
}

/** A decoded copy, and the number of rows that were left out. */
export interface DecodedCopy {
  readonly snapshot: TableSnapshot<unknown>;
  readonly unusableRows: number;
}

/**
 * Decodes a copy of the table. Upstreams that make no sense here are left out;
 * fields that aren't known here are kept, for the hosts that fetch from this
 * one. Throws if it isn't a copy, or if a row of the operators makes no sense: a
 * host must not take the position of a configuration that it lacks.
 */
export function decodeTableCopy(table: TableName, text: string): DecodedCopy {
  const copy = decodeCopy(JSON.parse(text));
  const rows = copy.rows.filter(isRow[table]) as TableRow<unknown>[];
  const unusableRows = copy.rows.length - rows.length;
  if (table === "config" && unusableRows > 0) {
    throw new TypeError(`${unusableRows} rows of operators make no sense here`);
  }
  const { era, version } = copy;
  return { snapshot: { era, version, rows }, unusableRows };
}
