/**
 * Decodes one TOML file with its schema and reports all of its problems at
 * once, each with its key path in snake_case, the value and the allowed values.
 * A report never contains a key or a secret.
 *
 * @module
 */

import * as Result from "effect/Result";
import * as Schema from "effect/Schema";
import type * as SchemaIssue from "effect/SchemaIssue";
import { closest, distance } from "fastest-levenshtein";
import { parse, TomlError } from "smol-toml";
import { type ConfigProblem } from "./errors.ts";
import type { Field, Fields } from "./fields.ts";

/** A file to decode. */
export interface DecodeInput<S> {
  readonly file: string;
  readonly text: string;
  readonly schema: S;
  /** Fields by the path of their table; the empty path is the top level. */
  readonly tables: Readonly<Record<string, Fields>>;
}

/** The decoded value, or the problems of the file. */
export type Decoded<T> =
  | { readonly kind: "decoded"; readonly value: T }
  | { readonly kind: "wrong"; readonly problems: readonly ConfigProblem[] };

type Path = readonly PropertyKey[];

/**
 * Suffix that marks a key spelled with capitals in the file, which is kept as
 * it is written. No known key ends with it.
 */
const VERBATIM_MARK = "?";

/** A longer value is truncated in a problem's text, in characters. */
const MAX_VALUE_LENGTH = 60;

/** Largest edit distance of a suggested key, as a share of its length. */
const MAX_DISTANCE_SHARE = 0.4;

/** Decodes a file against its schema. */
export function decodeFile<S extends Schema.ConstraintDecoder<unknown>>(
  input: DecodeInput<S>,
): Decoded<S["Type"]> {
  const { file } = input;
  let raw: unknown;
  try {
    raw = toCamelCase(parse(input.text));
  } catch (err) {
    const reason = err instanceof TomlError
      ? `line ${err.line}, column ${err.column}: ${getFirstLine(err.message)}`
      : String(err);
    const message = "configNotToml";
    return { kind: "wrong", problems: [{ file, message, args: [reason] }] };
  }
  const decoded = Schema.decodeUnknownResult(input.schema)(raw, {
    onExcessProperty: "error",
    errors: "all",
  });
  if (Result.isSuccess(decoded)) {
    return { kind: "decoded", value: decoded.success };
  }
  const issue = decoded.failure.issue;
  return { kind: "wrong", problems: toProblems(input, raw, issue) };
}

/** Converts a key's name in the code to its spelling in the files. */
export function toSnakeCase(key: string): string {
  if (key.endsWith(VERBATIM_MARK)) return key.slice(0, -VERBATIM_MARK.length);
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

/** Formats a key path for a problem: `teams[2].max_queued ("a-team")`. */
export function formatKeyPath(path: Path, raw: unknown): string {
  let text = "";
  let name = "";
  let value = raw;
  for (const part of path) {
    value = getProperty(value, part);
    if (typeof part === "number") text += `[${part}]`;
    else text += `${text === "" ? "" : "."}${toSnakeCase(String(part))}`;
    const id = getProperty(value, "id") ?? getProperty(value, "name");
    if (typeof part === "number" && typeof id === "string") {
      name = ` (${truncate(JSON.stringify(id))})`;
    }
  }
  return text + name;
}

function toProblems(
  input: DecodeInput<unknown>,
  raw: unknown,
  root: SchemaIssue.Issue,
): readonly ConfigProblem[] {
  const problems = new Map<string, ConfigProblem>();
  forEachLeafIssue(root, [], (issue, path) => {
    const keyPath = formatKeyPath(path, raw);
    // A value can fail several checks of its field. One problem is enough,
    // since its text lists everything that is allowed.
    if (problems.has(keyPath)) return;
    problems.set(keyPath, toProblem(input, raw, issue, path));
  });
  return [...problems.values()];
}

function forEachLeafIssue(
  issue: SchemaIssue.Issue,
  path: Path,
  visit: (issue: SchemaIssue.Issue, path: Path) => void,
): void {
  switch (issue._tag) {
    case "Pointer":
      forEachLeafIssue(issue.issue, [...path, ...issue.path], visit);
      return;
    case "Composite":
      for (const each of issue.issues) forEachLeafIssue(each, path, visit);
      return;
    case "Filter":
    case "Encoding":
      forEachLeafIssue(issue.issue, path, visit);
      return;
    default:
      visit(issue, path);
  }
}

function toProblem(
  input: DecodeInput<unknown>,
  raw: unknown,
  issue: SchemaIssue.Issue,
  path: Path,
): ConfigProblem {
  const { file, tables } = input;
  const keyPath = formatKeyPath(path, raw);
  const fields = tables[getTablePath(path)] ?? {};
  const key = String(path.at(-1) ?? "");
  if (issue._tag === "UnexpectedKey") {
    return createUnknownKey(file, keyPath, { key, fields });
  }
  const field = fields[key];
  const allowed = field === undefined ? "a table" : formatAllowed(field);
  if (issue._tag === "MissingKey") {
    return { file, message: "configKeyMissing", args: [keyPath, allowed] };
  }
  const value = field?.doc.isSecret
    ? "(not shown)"
    : truncate(JSON.stringify(getAt(raw, path)));
  const args = [keyPath, value, allowed];
  return { file, message: "configValueNotAllowed", args };
}

function createUnknownKey(
  file: string,
  keyPath: string,
  options: { key: string; fields: Fields },
): ConfigProblem {
  const known = Object.keys(options.fields).map(toSnakeCase);
  const key = toSnakeCase(options.key);
  const nearest = known.length === 0 ? "" : closest(key, known);
  const isSimilar =
    distance(key, nearest) <= Math.ceil(nearest.length * MAX_DISTANCE_SHARE);
  if (isSimilar) {
    return { file, message: "configKeyUnknown", args: [keyPath, nearest] };
  }
  const args = [keyPath, known.join(", ")];
  return { file, message: "configKeyUnknownHere", args };
}

function formatAllowed(field: Field): string {
  const { allowed, unit } = field.doc;
  return unit === "" ? allowed : `${allowed} (${unit})`;
}

/** The path of the table that contains the key at the end of a key path. */
function getTablePath(path: Path): string {
  return path.slice(0, -1).filter((part) => typeof part !== "number").join(".");
}

function getAt(value: unknown, path: Path): unknown {
  return path.reduce(getProperty, value);
}

function getProperty(value: unknown, key: PropertyKey): unknown {
  if (typeof value !== "object" || value === null) return undefined;
  return (value as Record<PropertyKey, unknown>)[key];
}

function toCamelCase(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toCamelCase);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, inner]) => [
      toCamelCaseKey(key),
      toCamelCase(inner),
    ]),
  );
}

function toCamelCaseKey(key: string): string {
  // A camelCase key in a file must not be accepted as the snake_case key.
  if (/[A-Z]/.test(key)) return `${key}${VERBATIM_MARK}`;
  return key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
}

function truncate(text: string | undefined): string {
  const shown = text ?? "";
  return shown.length <= MAX_VALUE_LENGTH
    ? shown
    : `${shown.slice(0, MAX_VALUE_LENGTH)}…`;
}

function getFirstLine(text: string): string {
  return text.split("\n")[0]!;
}
