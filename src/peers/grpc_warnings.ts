/**
 * Turns what the gRPC library would print to standard error into warnings of the
 * process, which are logged like those of Node.
 *
 * @module
 */

import process from "node:process";
import { format } from "node:util";
import { setLogger } from "@grpc/grpc-js";

/** Kind of these warnings in the log. */
const GRPC_WARNING = "GrpcWarning";

/** Makes warnings of the library's messages, from now on. */
export function warnOfGrpcMessages(): void {
  const warn = (...args: unknown[]) =>
    process.emitWarning(format(...args), GRPC_WARNING);
  setLogger({ error: warn, info: warn, debug: warn });
}
