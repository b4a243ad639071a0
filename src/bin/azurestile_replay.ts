#!/usr/bin/env node
/**
 * `azurestile-replay FILE`: checks a recorded history against the outcome that
 * its trace states.
 *
 * @module
 */

import { runProgram } from "../commands/program.ts";
import { replayProgram } from "../commands/replay.ts";

await runProgram(replayProgram);
