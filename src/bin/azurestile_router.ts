#!/usr/bin/env node
/**
 * `azurestile-router`: runs one router.
 *
 * @module
 */

import { runProgram } from "../commands/program.ts";
import { routerProgram } from "../commands/router.ts";

await runProgram(routerProgram);
