/**
 * Formats plain text tables for terminals.
 *
 * @module
 */

/** A cell; numbers are right-aligned. */
export type Cell = string | number;

/** Formats a table with a header line and columns that fit their cells. */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => String(row[column]).length))
  );
  const formatRow = (row: readonly Cell[]) =>
    row.map((cell, column) =>
      typeof cell === "number"
        ? String(cell).padStart(widths[column]!)
        : cell.padEnd(widths[column]!)
    ).join("  ").trimEnd();
  return [head, ...rows].map(formatRow).join("\n");
}
