/**
 * Problems of configuration files: the place, the value and what is allowed.
 *
 * @module
 */

import * as Data from "effect/Data";
import { formatMessage, type MessageName } from "../diagnostics/mod.ts";

/** One problem of a file. */
export interface ConfigProblem {
  /** The file's name as the operator gave it. */
  readonly file: string;
  readonly message: MessageName;
  /** Arguments of the message, such as key path, value and allowed values. */
  readonly args: readonly string[];
}

/** Thrown for files that can't be read, parsed or decoded, or that conflict. */
export class ConfigError extends Data.TaggedError("ConfigError")<{
  readonly problems: readonly ConfigProblem[];
}> {
  /** One line for each problem. */
  override get message(): string {
    return this.problems.map(formatProblem).join("\n");
  }
}

/** Formats a problem as one line that starts with the file's name. */
export function formatProblem(problem: ConfigProblem): string {
  return `${problem.file}: ${formatMessage(problem.message, problem.args)}`;
}

/** Throws `ConfigError` when there are problems. */
export function throwIfProblems(problems: readonly ConfigProblem[]): void {
  if (problems.length > 0) throw new ConfigError({ problems });
}
