#!/usr/bin/env node
/**
 * `azurestile-status`: shows the state of the hosts, upstreams and queues.
 *
 * @module
 */

import { statusProgram } from "../commands/status.ts";
import { runProgram } from "../commands/program.ts";

await runProgram(statusProgram);
