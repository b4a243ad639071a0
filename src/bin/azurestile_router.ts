#!/usr/bin/env node
/**
 * `azurestile-router`: runs one router. Records signals before it loads the
 * program.
 *
 * @module
 */

import { createSignalRecord } from "../startup/signal_record.ts";

const signals = createSignalRecord();
const { runProgram } = await import("../commands/program.ts");
const { createRouterProgram } = await import("../commands/router.ts");
await runProgram(createRouterProgram(signals));
