/**
 * `azurestile-trace REQUEST FILE`: finds the decisions about a request in the
 * lines that entry hosts have logged.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { getErrorMessage } from "../core/mod.ts";
import {
  formatRequestTrace,
  parseDecisionLines,
  tryTraceRequest,
} from "../diagnostics/mod.ts";
import { CommandError, createUsageError } from "./errors.ts";
import type { Program } from "./program.ts";

/** File argument that stands for the standard input. */
const STANDARD_INPUT = "-";

const STANDARD_INPUT_FD = 0;

const args = {
  request: {
    type: "positional",
    required: true,
    description: "The id of the caller's attempt",
  },
  file: {
    type: "positional",
    required: true,
    description: 'Log of one or more hosts; "-" for the standard input',
  },
} as const;

/** The program. */
export const traceProgram: Program<typeof args> = {
  name: "azurestile-trace",
  description:
    "Traces a request through the lines that entry hosts have logged",
  args,
  exits: ["notFound"],
  run({ request, file }, host) {
    const { logged, unreadable } = parseDecisionLines(readText(file));
    const trace = tryTraceRequest(logged, request);
    if (unreadable > 0) host.printError(`Unreadable lines: ${unreadable}`);
    if (trace === undefined) {
      throw new CommandError({
        exit: "notFound",
        messageName: "requestNotInLines",
        args: [request, logged.length],
      });
    }
    for (const line of formatRequestTrace(trace)) host.print(line);
    return Promise.resolve("ok");
  },
};

function readText(file: string): string {
  try {
    const source = file === STANDARD_INPUT ? STANDARD_INPUT_FD : file;
    return readFileSync(source, "utf8");
  } catch (err) {
    const reason = getErrorMessage(err);
    throw createUsageError("linesUnreadable", [file, reason]);
  }
}
