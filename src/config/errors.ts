/**
 * What is wrong with a file: where, which value and what is allowed.
 *
 * @module
 */

import * as Data from "effect/Data";
import { formatMessage, type MessageName } from "../diagnostics/mod.ts";

/** One thing that is wrong with a file. */
export interface ConfigProblem {
  /** File as the operator named it. */
  readonly file: string;
  readonly message: MessageName;
  /** Arguments of the message: key path, value, what is allowed. */
  readonly args: readonly string[];
}

/** Files that can't be read, parsed, decoded or fitted together. */
export class ConfigError extends Data.TaggedError("ConfigError")<{
  readonly problems: readonly ConfigProblem[];
}> {
  /** One line for each problem. */
  override get message(): string {
    return this.problems.map(formatProblem).join("\n");
  }
}

/** A problem as one line: file, key path, value and what is allowed. */
export function formatProblem(problem: ConfigProblem): string {
  return `${problem.file}: ${formatMessage(problem.message, problem.args)}`;
}

/** Throws `ConfigError` when there are problems. */
export function throwIfProblems(problems: readonly ConfigProblem[]): void {
  if (problems.length > 0) throw new ConfigError({ problems });
}
