#!/usr/bin/env node
/**
 * `azurestile-check DIR`: checks a deployment's files offline.
 *
 * @module
 */

import { checkProgram } from "../commands/check.ts";
import { runProgram } from "../commands/program.ts";

await runProgram(checkProgram);
