/**
 * JSON lines on standard output. Each line names its host and a message of the
 * catalogue; the fields beside it carry the request id where there is one.
 *
 * @module
 */

import process from "node:process";
import bunyan from "bunyan";
import { formatMessage, type MessageName, messages } from "./messages.ts";

/** How bad a log line is. */
export type Severity = "debug" | "info" | "warn" | "error";

/** Fields beside a message; never a key, a token or a body. */
export interface LogFields {
  readonly request?: string;
  readonly team?: string;
  readonly peer?: string;
  readonly upstream?: string;
  readonly outcome?: string;
}

/** Writes log lines of one process. */
export interface Logger {
  write(
    severity: Severity,
    message: MessageName,
    options?: { args?: readonly (string | number)[]; fields?: LogFields },
  ): void;
}

/** Makes the logger of a process; lines below the severity are dropped. */
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
