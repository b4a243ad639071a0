/**
 * Parses the decisions that entry hosts log, from one host or several.
 *
 * @module
 */

import type { Decision } from "./decisions.ts";

/** A decision with its host and its time. */
export interface LoggedDecision {
  readonly host: string;
  /** Wall time of that host in ms; the clocks of hosts can differ. */
  readonly atMs: number;
  readonly decision: Decision;
}

/** The result of parsing a log. */
export interface ParsedDecisionLines {
  readonly logged: readonly LoggedDecision[];
  /** Number of lines that are truncated or are not decisions. */
  readonly unreadable: number;
}

/**
 * Parses lines in any order; ignores text before the JSON object of a line.
 */
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
