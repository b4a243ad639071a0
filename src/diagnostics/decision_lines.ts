/**
 * Reads the lines that entry hosts log, of one host or of many in one text.
 *
 * @module
 */

import type { Decision } from "./decisions.ts";

/** A decision with where and when it was taken. */
export interface LoggedDecision {
  readonly host: string;
  /** Wall milliseconds of that host, which may be off by some. */
  readonly atMs: number;
  readonly decision: Decision;
}

/** What was read. */
export interface ParsedDecisionLines {
  readonly logged: readonly LoggedDecision[];
  /** Lines that are no decisions: cut short, or of another program. */
  readonly unreadable: number;
}

/** Reads lines in any order; other text before a line's object is passed over. */
export function parseDecisionLines(text: string): ParsedDecisionLines {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  const logged = lines.map(tryParseLine).filter((each) => each !== undefined);
  return {
    logged: logged.sort((a, b) => a.atMs - b.atMs),
    unreadable: lines.length - logged.length,
  };
}

function tryParseLine(line: string): LoggedDecision | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    const record = JSON.parse(line.slice(start)) as Record<string, unknown>;
    const atMs = Date.parse(String(record.time));
    if (typeof record.event !== "string" || !Number.isFinite(atMs)) {
      return undefined;
    }
    const host = String(record.host ?? "");
    return { host, atMs, decision: record as unknown as Decision };
  } catch {
    // Counted by the caller as unreadable.
    return undefined;
  }
}
