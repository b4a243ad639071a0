#!/usr/bin/env node
/**
 * `azurestile-explain REQUEST`: explains the decisions about a request.
 *
 * @module
 */

import { explainProgram } from "../commands/explain.ts";
import { runProgram } from "../commands/program.ts";

await runProgram(explainProgram);
