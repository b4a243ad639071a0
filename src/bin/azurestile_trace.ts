#!/usr/bin/env node
/**
 * `azurestile-trace REQUEST FILE`: finds the decisions about a request in logs.
 *
 * @module
 */

import { traceProgram } from "../commands/trace.ts";
import { runProgram } from "../commands/program.ts";

await runProgram(traceProgram);
