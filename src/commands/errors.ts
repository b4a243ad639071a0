/**
 * Errors that end a program with a message and an exit code.
 *
 * @module
 */

import * as Data from "effect/Data";
import { formatMessage, type MessageName } from "../diagnostics/mod.ts";
import type { ExitName } from "./exit_codes.ts";

/** Ends the program with a message and an exit code. */
export class CommandError extends Data.TaggedError("CommandError")<{
  readonly exit: ExitName;
  readonly messageName: MessageName;
  readonly args: readonly (string | number)[];
}> {
  override get message(): string {
    return formatMessage(this.messageName, this.args);
  }
}

/** Makes the error for wrong usage of a program. */
export function createUsageError(
  name: MessageName,
  args: readonly (string | number)[] = [],
): CommandError {
  return new CommandError({ exit: "usage", messageName: name, args });
}
