/**
 * Traces: a history with its stated outcome, as JSON lines. The first line is
 * the statement of the outcome. A replay checks the history again and compares
 * the result with the statement.
 *
 * @module
 */

import * as Data from "effect/Data";
import { checkHistory, countByOutcome, countByPromise } from "./checker.ts";
import {
  documentedLimits,
  type Observation,
  type PromiseName,
} from "./types.ts";

/** The outcome of a history as stated in its trace. */
export interface Statement {
  readonly kind: "stated-outcome";
  readonly about: string;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly violations: Readonly<Partial<Record<PromiseName, number>>>;
}

/** A history with the statement of its outcome. */
export interface Trace {
  readonly stated: Statement;
  readonly history: readonly Observation[];
}

/** Thrown for a trace that can't be read. */
export class TraceError extends Data.TaggedError("TraceError")<{
  readonly line: number;
  readonly reason: string;
}> {
  override get message(): string {
    return `Line ${this.line}: ${this.reason}`;
  }
}

/** Checks a history and returns its outcome as a statement. */
export function getStatement(
  about: string,
  history: readonly Observation[],
): Statement {
  return {
    kind: "stated-outcome",
    about,
    outcomes: countByOutcome(history),
    violations: countByPromise(checkHistory(history, documentedLimits)),
  };
}

/** Formats a trace as JSON lines. */
export function formatTrace(trace: Trace): string {
  const lines = [trace.stated, ...trace.history];
  return lines.map((line) => JSON.stringify(line) + "\n").join("");
}

/** Parses a trace; throws `TraceError`. */
export function parseTrace(text: string): Trace {
  const lines = text.split("\n").filter((line) => line !== "")
    .map((line, index) => parseLine(line, index + 1));
  const [stated, ...history] = lines;
  if (stated?.kind !== "stated-outcome") {
    const reason = "The first line is not a stated outcome";
    throw new TraceError({ line: 1, reason });
  }
  return { stated, history: history as readonly Observation[] };
}

/** Checks a trace's history again; returns differences from the statement. */
export function compareWithStatement(trace: Trace): readonly string[] {
  const actual = getStatement(trace.stated.about, trace.history);
  return [
    ...compareCounts("outcome", trace.stated.outcomes, actual.outcomes),
    ...compareCounts(
      "violation of",
      trace.stated.violations,
      actual.violations,
    ),
  ];
}

function parseLine(text: string, line: number): Statement | Observation {
  try {
    return JSON.parse(text);
  } catch (err) {
    throw new TraceError({ line, reason: String(err) });
  }
}

function compareCounts(
  what: string,
  stated: Readonly<Record<string, number>>,
  found: Readonly<Record<string, number>>,
): readonly string[] {
  const names = new Set([...Object.keys(stated), ...Object.keys(found)]);
  return [...names].sort()
    .filter((name) => (stated[name] ?? 0) !== (found[name] ?? 0))
    .map((name) =>
      `${what} "${name}": stated ${stated[name] ?? 0}, found ${
        found[name] ?? 0
      }`
    );
}
