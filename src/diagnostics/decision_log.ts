/**
 * One JSON line for each decision that touches a request or changes what the
 * process believes: the request's id, the inputs with their age or version, the
 * outcome. On-call engineers have these lines and the metrics and nothing else.
 *
 * Lines are gathered and written in the background. When the reader of the
 * output falls behind, lines are dropped and counted: a full pipe must never
 * stop a request.
 *
 * @module
 */

import { createWriteStream } from "node:fs";
import type { Writable } from "node:stream";
import bunyan from "bunyan";
import type { Decision } from "./decisions.ts";

/** Takes in decisions. */
export interface DecisionLog extends AsyncDisposable {
  write(decision: Decision): void;
}

/** Lines wait at most so long for others, in ms: one write for all of them. */
const BATCH_DELAY_MS = 100;

/**
 * Bytes that may wait for the reader: some 2,000 lines, over a second of
 * decisions at the most that a host serves.
 */
const MAX_BUFFERED_BYTES = 512 * 1024;

/** The standard output of a process, written without blocking it. */
export function openStandardOutput(): Writable {
  return createWriteStream("", { fd: 1, autoClose: false });
}

/** Makes the log of the host named. */
export function createDecisionLog(
  host: string,
  output: Writable = openStandardOutput(),
): DecisionLog {
  let batch: string[] = [];
  let batchBytes = 0;
  let dropped = 0;
  let timer: NodeJS.Timeout | undefined;
  // A closed reader must not end the process; the lines are lost either way.
  output.on("error", () => {});

  const sink = bunyan.createLogger({
    name: "azurestile-entry",
    host,
    streams: [{ type: "raw", stream: { write: addToBatch } }],
  });

  function addToBatch(record: object): void {
    const line = `${JSON.stringify(record)}\n`;
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
