/**
 * The signals that this process has received since its first lines ran. They
 * are kept until the program can handle them, since the default action of each
 * would end the process.
 *
 * This module is loaded before all others and therefore imports nothing of the
 * project.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import process from "node:process";

/** A signal that the platform or an operator may send. */
export type SignalName = "SIGHUP" | "SIGTERM" | "SIGINT";

/** A signal that this process has received. */
export interface ReceivedSignal {
  readonly name: SignalName;
  /** When it was received, in ms of the monotonic clock. */
  readonly receivedMs: number;
}

/** The signals received so far, and those to come. */
export interface SignalRecord {
  /**
   * Calls the function for each signal received so far, in order, and for each
   * later one when it is received.
   */
  forEachSignal(handle: (signal: ReceivedSignal) => void): Disposable;
}

/** What emits signals: a process. */
export interface SignalSource {
  on(name: SignalName, listener: () => void): unknown;
}

const SIGNAL_NAMES: readonly SignalName[] = ["SIGHUP", "SIGTERM", "SIGINT"];

/** Handles all signals from now on by recording them. */
export function createSignalRecord(
  source: SignalSource = process,
): SignalRecord {
  const received: ReceivedSignal[] = [];
  const handlers = new Set<(signal: ReceivedSignal) => void>();

  function record(name: SignalName): void {
    const signal = { name, receivedMs: performance.now() };
    received.push(signal);
    for (const handle of [...handlers]) handle(signal);
  }

  for (const name of SIGNAL_NAMES) source.on(name, () => record(name));

  return {
    forEachSignal(handle) {
      for (const signal of received) handle(signal);
      handlers.add(handle);
      return { [Symbol.dispose]: () => void handlers.delete(handle) };
    },
  };
}

/** The first signal that asks a process to stop. */
export interface StopRequest {
  tryGet(): ReceivedSignal | undefined;
  /** Resolves once the process is asked to stop. */
  readonly requested: Promise<ReceivedSignal>;
}

/** Creates the view of the first SIGTERM or SIGINT. */
export function createStopRequest(signals: SignalRecord): StopRequest {
  let first: ReceivedSignal | undefined;
  const requested = new Promise<ReceivedSignal>((resolve) => {
    signals.forEachSignal((signal) => {
      if (signal.name === "SIGHUP" || first !== undefined) return;
      first = signal;
      resolve(signal);
    });
  });
  return {
    tryGet: () => first,
    requested,
  };
}
