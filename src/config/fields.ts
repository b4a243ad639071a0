/**
 * Fields of the declarative files: each has a schema that checks its value and
 * a description. Error texts and docs/CONFIGURATION.md are generated from these
 * descriptions, so that both agree with the checks.
 *
 * @module
 */

import { isIPv4 } from "node:net";
import * as Effect from "effect/Effect";
import * as Schema from "effect/Schema";

/** Description of a field in error texts and in docs/CONFIGURATION.md. */
export interface FieldDoc {
  readonly description: string;
  /** The allowed values, in words. */
  readonly allowed: string;
  /** Unit of the value; empty if it has none. */
  readonly unit: string;
  /** Used if the key is absent; `undefined` if the key is required. */
  readonly defaultValue?: string | number | undefined;
  /** Never print the value: it is a secret or is derived from one. */
  readonly isSecret?: boolean;
}

/** A field: its schema and its description. */
export interface Field<S extends Schema.Top = Schema.Top> {
  readonly schema: S;
  readonly doc: FieldDoc;
}

/** The fields of one table, by their names in the code. */
export type Fields = Readonly<Record<string, Field>>;

type Schemas<F extends Fields> = { [K in keyof F]: F[K]["schema"] };

const IDENTIFIER = /^[a-z0-9][a-z0-9-]{0,62}$/;
const DIGEST = /^[0-9a-f]{64}$/;
const LAST_PORT = 65_535;

/** Makes the schema of a table from its fields. */
export function toStruct<F extends Fields>(
  fields: F,
): Schema.Struct<Schemas<F>> {
  const schemas = Object.entries(fields).map(([name, field]) => [
    name,
    field.schema,
  ]);
  return Schema.Struct(Object.fromEntries(schemas) as Schemas<F>);
}

/** A short name: lower case letters, digits and hyphens. */
export function identifier(description: string) {
  const schema = Schema.String.check(Schema.isPattern(IDENTIFIER));
  const allowed =
    "1 to 63 lower case letters, digits and hyphens, no hyphen first";
  return { schema, doc: { description, allowed, unit: "" } };
}

/** An IPv4 address and a port. */
export function address(description: string) {
  const schema = Schema.String.check(Schema.makeFilter(isAddress));
  const allowed = `an IPv4 address and a port from 1 to ${LAST_PORT}, ` +
    'as "10.0.0.1:8080"';
  return { schema, doc: { description, allowed, unit: "" } };
}

/**
 * SHA-256 of a key. The value is never printed, since an operator may have put
 * the key itself there by mistake.
 */
export function keyDigest(description: string) {
  const schema = Schema.String.check(Schema.isPattern(DIGEST));
  const allowed = "the SHA-256 of the key as 64 lower case hexadecimal digits";
  return { schema, doc: { description, allowed, unit: "", isSecret: true } };
}

/** A text that is never printed. */
export function secret(description: string, minLength: number) {
  const schema = Schema.String.check(Schema.isMinLength(minLength));
  const allowed = `a text of at least ${minLength} characters`;
  return { schema, doc: { description, allowed, unit: "", isSecret: true } };
}

/** An integer within the inclusive range. */
export function integer(
  description: string,
  range: { min: number; max: number; unit: string },
) {
  const { min, max, unit } = range;
  const schema = Schema.Number.check(
    Schema.isInt(),
    Schema.isBetween({ minimum: min, maximum: max }),
  );
  const allowed = `a whole number from ${min} to ${max}`;
  return { schema, doc: { description, allowed, unit } };
}

/** A number within the inclusive range. */
export function number(
  description: string,
  range: { min: number; max: number; unit: string },
) {
  const { min, max, unit } = range;
  const schema = Schema.Number.check(
    Schema.isBetween({ minimum: min, maximum: max }),
  );
  return { schema, doc: { description, allowed: `${min} to ${max}`, unit } };
}

export function flag(description: string) {
  const allowed = "true or false";
  return { schema: Schema.Boolean, doc: { description, allowed, unit: "" } };
}

/** One of the given words. */
export function oneOf<const W extends readonly string[]>(
  description: string,
  words: W,
) {
  const allowed = words.map((word) => `"${word}"`).join(" or ");
  const schema = Schema.Literals(words);
  return { schema, doc: { description, allowed, unit: "" } };
}

/** An array of tables; `table` is their name in the file. */
export function tablesOf<F extends Fields>(
  description: string,
  fields: F,
  table: string,
) {
  const schema = Schema.Array(toStruct(fields));
  const allowed = `one [[${table}]] table for each`;
  return { schema, doc: { description, allowed, unit: "" } };
}

/** Makes a field optional; `value` is used if its key is absent. */
export function withDefault<S extends Schema.Top>(
  field: Field<S>,
  value: S["Encoded"] & (string | number),
) {
  const schema = field.schema.pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(value)),
  );
  return { schema, doc: { ...field.doc, defaultValue: value } };
}

/**
 * Makes a field optional; `fallback` describes what is used if it is absent.
 */
export function optional<S extends Schema.Top>(
  field: Field<S>,
  fallback: string,
) {
  const schema = Schema.optionalKey(field.schema);
  return { schema, doc: { ...field.doc, defaultValue: fallback } };
}

/** Makes an array of tables optional; it is empty if absent. */
export function withEmptyDefault<S extends Schema.Top>(field: Field<S>) {
  const schema = field.schema.pipe(
    Schema.withDecodingDefaultKey(Effect.succeed([] as S["Encoded"])),
  );
  return { schema, doc: { ...field.doc, defaultValue: "none" } };
}

function isAddress(text: string): boolean {
  const [ip = "", port = "", ...rest] = text.split(":");
  if (rest.length > 0 || !isIPv4(ip) || !/^\d{1,5}$/.test(port)) return false;
  return Number(port) >= 1 && Number(port) <= LAST_PORT;
}
