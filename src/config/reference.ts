/**
 * Generates the reference of all keys in docs/CONFIGURATION.md as Markdown
 * tables from the schemas, so that the page agrees with the checks.
 *
 * @module
 */

import { toSnakeCase } from "./decode.ts";
import type { Field } from "./fields.ts";
import { tableFields } from "./schema.ts";

/** Formats all tables, each under a heading with its file and its name. */
export function createReference(): string {
  return Object.entries(tableFields).flatMap(([file, tables]) =>
    Object.entries(tables).map(([path, fields]) => {
      const rows = Object.entries(fields).map(([key, field]) =>
        createRow(toSnakeCase(key), field)
      );
      return [
        `### ${createHeading(file, path)}`,
        "",
        "| Key | Meaning | Allowed | Unit | Default |",
        "| --- | --- | --- | --- | --- |",
        ...rows,
        "",
      ].join("\n");
    })
  ).join("\n");
}

function createHeading(file: string, path: string): string {
  const title = file === "settings" ? "Settings of a router" : `\`${file}\``;
  if (path === "") return `${title}, top`;
  const table = path.split(".").map(toSnakeCase).join(".");
  return `${title}, \`[[${table}]]\``;
}

function createRow(key: string, field: Field): string {
  const { description, allowed, unit, defaultValue } = field.doc;
  const fallback = defaultValue === undefined
    ? "needed"
    : `\`${defaultValue}\``;
  return `| \`${key}\` | ${description} | ${allowed} | ${unit} | ${fallback} |`;
}
