#!/usr/bin/env node
/**
 * `azurestile-apply DIR`: applies a deployment's files as one version.
 *
 * @module
 */

import { applyProgram } from "../commands/apply.ts";
import { runProgram } from "../commands/program.ts";

await runProgram(applyProgram);
