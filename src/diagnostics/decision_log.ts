/**
 * Logs one JSON line for each decision that affects a request or changes the
 * state of the process: the request's id, the inputs with their age or version,
 * and the outcome. On-call engineers have only these lines and the metrics.
 *
 * Lines are written in batches in the background. If the reader of the output
 * is too slow, lines are dropped and counted, since a full pipe must never
 * block a request.
 *
 * @module
 */

import { createWriteStream } from "node:fs";
import type { Writable } from "node:stream";
import bunyan from "bunyan";
import type { Decision } from "./decisions.ts";

/** Writes decisions to the log. */
export interface DecisionLog extends AsyncDisposable {
  write(decision: Decision): void;
}

/** Lines are collected for this long, in ms, and written together. */
const BATCH_DELAY_MS = 100;

/**
 * Bytes that may be buffered for the reader: about 2,000 lines, which is more
 * than a second of decisions of a host at its highest load.
 */
const MAX_BUFFERED_BYTES = 512 * 1024;

/** Opens the standard output for writes that do not block the process. */
export function openStandardOutput(): Writable {
  return createWriteStream("", { fd: 1, autoClose: false });
}

/**
 * Makes the decision log of a host. Its name is asked for each line, as a
 * process logs before it knows its settings.
 */
export function createDecisionLog(
  getHost: () => string,
  output: Writable = openStandardOutput(),
): DecisionLog {
  let batch: string[] = [];
  let batchBytes = 0;
  let dropped = 0;
  let timer: NodeJS.Timeout | undefined;
  // The process must not end if the reader closes the pipe; the lines are lost
  // in any case.
  output.on("error", () => {});

  const sink = bunyan.createLogger({
    name: "azurestile-entry",
    streams: [{ type: "raw", stream: { write: addToBatch } }],
  });

  function addToBatch(record: object): void {
    const line = `${JSON.stringify({ ...record, host: getHost() })}\n`;
    const bufferedBytes = output.writableLength + batchBytes;
    if (bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
      dropped++;
      return;
    }
    batch.push(line);
    batchBytes += line.length;
    timer ??= setTimeout(flush, BATCH_DELAY_MS).unref();
  }

  function flush(): void {
    clearTimeout(timer);
    timer = undefined;
    const text = batch.join("");
    batch = [];
    batchBytes = 0;
    if (text !== "") output.write(text);
    if (dropped === 0) return;
    const lines = dropped;
    dropped = 0;
    write({ event: "log-lines-dropped", lines });
  }

  function write(decision: Decision): void {
    sink.info({ ...decision }, decision.event);
  }

  return {
    write,
    async [Symbol.asyncDispose]() {
      flush();
      await new Promise<void>((resolve) => output.write("", () => resolve()));
    },
  };
}
