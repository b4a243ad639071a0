#!/usr/bin/env node
/**
 * `azurestile-timeline`: shows the events of all hosts in causal order.
 *
 * @module
 */

import { timelineProgram } from "../commands/timeline.ts";
import { runProgram } from "../commands/program.ts";

await runProgram(timelineProgram);
