#!/usr/bin/env node
/**
 * `azurestile-history`: shows and exports accepted configurations.
 *
 * @module
 */

import { historyProgram } from "../commands/history.ts";
import { runProgram } from "../commands/program.ts";

await runProgram(historyProgram);
