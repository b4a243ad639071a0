/**
 * Writes log lines as JSON to standard output. Each line has its host, a
 * message of the catalogue and fields, such as the request's id.
 *
 * @module
 */

import process from "node:process";
import bunyan from "bunyan";
import { formatMessage, type MessageName, messages } from "./messages.ts";

/** The severity of a log line, in ascending order. */
export type Severity = "debug" | "info" | "warn" | "error";

/** Fields of a log line; they never contain a key, a token or a body. */
export interface LogFields {
  readonly request?: string;
  readonly team?: string;
  readonly peer?: string;
  readonly upstream?: string;
  readonly outcome?: string;
}

/** Writes the log lines of one process. */
export interface Logger {
  write(
    severity: Severity,
    message: MessageName,
    options?: { args?: readonly (string | number)[]; fields?: LogFields },
  ): void;
}

/** Makes the logger of a process; lines below `minSeverity` are dropped. */
export function createLogger(
  host: string,
  minSeverity: Severity,
  output: NodeJS.WritableStream = process.stdout,
): Logger {
  const sink = bunyan.createLogger({
    name: "azurestile-router",
    host,
    level: minSeverity,
    stream: output,
  });
  return {
    write(severity, message, options = {}) {
      const line = { code: messages[message].code, ...options.fields };
      sink[severity](line, formatMessage(message, options.args ?? []));
    },
  };
}
