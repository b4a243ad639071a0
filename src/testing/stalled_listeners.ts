/**
 * Upstreams that for a time accept no connection, as a machine does that has
 * fallen silent. They need a system whose full queue of connections lets
 * further attempts wait, as that of Linux does.
 *
 * @module
 */

import { Worker } from "node:worker_threads";

/** When an upstream accepts no connection, and for how long. */
export interface StalledListenerOptions {
  readonly when: "at-start" | "after-a-body";
  /** In ms. */
  readonly stallsMs: number;
}

/** Upstreams, each in a thread of its own. */
export interface StalledListeners extends AsyncDisposable {
  /** IP addresses and ports. */
  readonly addresses: readonly string[];
}

/**
 * Starts upstreams. Those that stall at their start answer with a length
 * afterwards; those that stall after a body answer without a length.
 */
export async function startStalledListeners(
  count: number,
  options: StalledListenerOptions,
): Promise<StalledListeners> {
  const workers = Array.from({ length: count }, () => startWorker(options));
  const ports = await Promise.all(workers.map(receivePort));
  return {
    addresses: ports.map((port) => `127.0.0.1:${port}`),
    async [Symbol.asyncDispose]() {
      await Promise.all(workers.map((worker) => worker.terminate()));
    },
  };
}

function startWorker(options: StalledListenerOptions): Worker {
  const url = new URL("./stalled_listener_worker.js", import.meta.url);
  return new Worker(url, { workerData: options });
}

function receivePort(worker: Worker): Promise<number> {
  return new Promise((resolve, reject) => {
    worker.once("message", resolve);
    worker.once("error", reject);
  });
}
