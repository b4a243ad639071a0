/**
 * `azurestile-replay FILE`: checks a recorded history again and compares the
 * result with the outcome that is stated in its trace.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { getErrorMessage } from "../core/mod.ts";
import {
  checkHistory,
  compareWithStatement,
  documentedLimits,
  parseTrace,
  type Trace,
} from "../proof/mod.ts";
import { createUsageError } from "./errors.ts";
import type { Program } from "./program.ts";

const args = {
  file: {
    type: "positional",
    required: true,
    description: "Trace in JSON lines",
  },
} as const;

/** The program. */
export const replayProgram: Program<typeof args> = {
  name: "azurestile-replay",
  description: "Checks a recorded history against its stated outcome",
  args,
  exits: [],
  run(options, { print }) {
    const trace = readTrace(options.file);
    print(`About: ${trace.stated.about}`);
    print(`Observations: ${trace.history.length}`);
    for (
      const { promise, atMs, what } of checkHistory(
        trace.history,
        documentedLimits,
      )
    ) {
      print(`Broken at ${atMs} ms: ${promise}: ${what}`);
    }
    const differences = compareWithStatement(trace);
    for (const difference of differences) print(`Differs: ${difference}`);
    const isAsStated = differences.length === 0;
    print(isAsStated ? "As stated" : "Not as stated");
    return Promise.resolve(isAsStated ? "ok" : "failed");
  },
};

function readTrace(file: string): Trace {
  try {
    return parseTrace(readFileSync(file, "utf8"));
  } catch (err) {
    const reason = getErrorMessage(err);
    throw createUsageError("traceUnreadable", [file, reason]);
  }
}
