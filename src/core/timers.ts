/**
 * Timers that decide only after the event loop has read what came before them.
 *
 * Load: a host with an eighth of a core whose turns of the event loop take a
 * second, or a process that was stopped for some. Harm prevented: Node runs the
 * timers that are due before it reads sockets. An answer, or a caller's close,
 * that came in time still lies unread when the timer runs, so a request was
 * started for a caller that had left, and an upstream that had answered was
 * called silent and asked again.
 *
 * @module
 */

/**
 * Turns of the event loop after which what had come has been read and acted
 * upon: a message, the close behind it, and the end of the connection.
 */
const READ_ITERATIONS = 3;

/** Runs once what has come so far is read; disposing of it prevents that. */
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

/** A limit on the time in which something has to come. */
export interface ReadAwareTimeout extends Disposable {
  /** It came; the next has the whole time again. */
  restart(): void;
}

/** Runs after so long, in ms, unless what is read until then disposes of it. */
export function startTimeout(
  timeoutMs: number,
  run: () => void,
): ReadAwareTimeout {
  let pendingRead: Disposable | undefined;
  const timer = setTimeout(() => {
    pendingRead = runAfterPendingReads(run);
  }, timeoutMs);
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
