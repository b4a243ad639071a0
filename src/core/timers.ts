/**
 * Time-outs that take effect only after the event loop has read all input that
 * arrived before them.
 *
 * Load: a host with an eighth of a core whose event-loop iterations take a
 * second, or a process that was stopped for seconds. Failure prevented: Node
 * runs due timers before it reads sockets, so a response, or a caller's
 * disconnect, that arrived in time is still unread when the timer runs. A
 * request would start for a caller that has disconnected, and an upstream that
 * has responded would be treated as timed out and be sent the request again.
 *
 * @module
 */

/**
 * Event-loop iterations after which all input that had arrived is read and
 * handled: a message, the close that follows it, and the end of the connection.
 */
const READ_ITERATIONS = 3;

/**
 * Runs a function once all input that has arrived so far is read. Disposal
 * cancels it.
 */
export function runAfterPendingReads(run: () => void): Disposable {
  let iterations = 0;
  function endIteration(): void {
    iterations++;
    if (iterations === READ_ITERATIONS) run();
    else immediate = setImmediate(endIteration);
  }
  let immediate = setImmediate(endIteration);
  return { [Symbol.dispose]: () => clearImmediate(immediate) };
}

/** Longest time of a timer, in ms; Node runs one of a longer time at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

/** A time-out that input cancels if it arrived in time, even if read late. */
export interface ReadAwareTimeout extends Disposable {
  /** Starts the time-out again from zero. */
  restart(): void;
}

/**
 * Starts a time-out, in ms, that runs a function unless it is disposed of by
 * input that arrived before it expired.
 */
export function startTimeout(
  timeoutMs: number,
  run: () => void,
): ReadAwareTimeout {
  let pendingRead: Disposable | undefined;
  const timer = setTimeout(() => {
    pendingRead = runAfterPendingReads(run);
  }, Math.min(timeoutMs, MAX_TIMER_MS));
  return {
    restart() {
      pendingRead?.[Symbol.dispose]();
      timer.refresh();
    },
    [Symbol.dispose]() {
      clearTimeout(timer);
      pendingRead?.[Symbol.dispose]();
    },
  };
}
