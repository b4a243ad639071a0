/**
 * Takes what the runtime would print to standard error as bare text, warnings
 * and uncaught errors, and hands it over as data for the log.
 *
 * @module
 */

import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createRuntimeWarnings,
  type RuntimeWarning,
  shortenMessage,
  shortenStack,
} from "./runtime_warnings.ts";

/** The error that ends the process. */
export interface UncaughtError {
  readonly origin: "uncaughtException" | "unhandledRejection";
  /** Name of the error, or type of what was thrown instead. */
  readonly kind: string;
  /** Shortened. */
  readonly message: string;
  /** Where it was thrown, shortened; empty if unknown. */
  readonly stack: string;
}

/** The log of a process. */
export interface RuntimeLog {
  writeWarning(warning: RuntimeWarning): void;
  writeUncaught(err: UncaughtError): void;
  /** Resolves when what was written has left the process. */
  flush(): PromiseLike<void>;
}

/** Exit code of a process that an uncaught error ends; Node's own. */
const UNCAUGHT_EXIT_CODE = 1;

/**
 * Time for the last lines to leave the process, in ms. A reader that has
 * stopped must not keep a failed process running.
 */
const LAST_LINES_MS = 200;

/**
 * Writes all warnings and uncaught errors of this process to the log, in place
 * of standard error. An uncaught error still ends the process.
 */
export function watchRuntime(log: RuntimeLog): void {
  const warnings = createRuntimeWarnings({
    write: log.writeWarning,
    schedule: (run, delayMs) => void setTimeout(run, delayMs).unref(),
  });
  // Node's own listener prints.
  process.removeAllListeners("warning");
  process.on("warning", warnings.record);
  let isEnding = false;
  // Rejections without a handler come here too.
  process.on("uncaughtException", (thrown, origin) => {
    if (isEnding) return;
    isEnding = true;
    log.writeUncaught(describeUncaught(thrown, origin));
    void exitWhenFlushed(log, UNCAUGHT_EXIT_CODE);
  });
}

/** Ends the process once its last lines have left it, or soon after. */
export async function exitWhenFlushed(
  log: Pick<RuntimeLog, "flush">,
  code: number,
): Promise<never> {
  try {
    await Promise.race([log.flush(), sleep(LAST_LINES_MS)]);
  } finally {
    process.exit(code);
  }
}

/** Anything can be thrown, not only errors. */
function describeUncaught(
  thrown: unknown,
  origin: UncaughtError["origin"],
): UncaughtError {
  if (!(thrown instanceof Error)) {
    const message = shortenMessage(String(thrown));
    return { origin, kind: typeof thrown, message, stack: "" };
  }
  return {
    origin,
    kind: shortenMessage(thrown.name),
    message: shortenMessage(thrown.message),
    stack: shortenStack(thrown),
  };
}
