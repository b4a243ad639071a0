/**
 * Turns the warnings of the runtime into few lines: the first of a kind is
 * written at once; those that follow are counted and written together, at most
 * once in an interval.
 *
 * @module
 */

/** Warnings of one kind, as written to the log. */
export interface RuntimeWarning {
  /** Name of the warning; `name` in a line is that of the program. */
  readonly kind: string;
  /** The latest message, shortened. */
  readonly message: string;
  /** Where the latest was raised, shortened; empty if unknown. */
  readonly stack: string;
  /** Warnings of this kind since the last line about it. */
  readonly count: number;
}

/** Dependencies of the recorder. */
export interface RuntimeWarningsHost {
  write(warning: RuntimeWarning): void;
  /** Runs a function after a time in ms. */
  schedule(run: () => void, delayMs: number): void;
}

/** Records the warnings of one process. */
export interface RuntimeWarnings {
  record(warning: Error): void;
}

/** Shortest time between two lines about one kind, in ms. */
export const WARNING_INTERVAL_MS = 10_000;

/** Kinds that are told apart at a time; further ones share a line. */
export const MAX_WARNING_KINDS = 16;

/** The kind under which further kinds are counted. */
export const OTHER_WARNINGS = "other";

/** Length of a logged message, in characters. */
const MAX_MESSAGE_CHARS = 300;

/** Length of a logged stack, in characters: about six frames. */
const MAX_STACK_CHARS = 600;

/** Creates the recorder of a process. */
export function createRuntimeWarnings(
  host: RuntimeWarningsHost,
): RuntimeWarnings {
  /** For each kind written lately, what has come since. */
  const pending = new Map<string, RuntimeWarning | undefined>();

  function getLoggedKind(kind: string): string {
    const isTold = pending.has(kind) || pending.size < MAX_WARNING_KINDS;
    return isTold ? kind : OTHER_WARNINGS;
  }

  function write(warning: RuntimeWarning): void {
    pending.set(warning.kind, undefined);
    host.write(warning);
    host.schedule(() => endInterval(warning.kind), WARNING_INTERVAL_MS);
  }

  function endInterval(kind: string): void {
    const warning = pending.get(kind);
    if (warning === undefined) pending.delete(kind);
    else write(warning);
  }

  return {
    record(err) {
      const kind = getLoggedKind(shortenMessage(err.name));
      const warning: RuntimeWarning = {
        kind,
        message: shortenMessage(err.message),
        stack: shortenStack(err),
        count: (pending.get(kind)?.count ?? 0) + 1,
      };
      if (pending.has(kind)) pending.set(kind, warning);
      else write(warning);
    },
  };
}

/** Shortens a message to what a line holds. */
export function shortenMessage(text: string): string {
  return text.slice(0, MAX_MESSAGE_CHARS);
}

/** Returns the start of the stack of an error, without its message. */
export function shortenStack({ stack = "" }: Error): string {
  const start = stack.search(/^ {4}at /m);
  return start < 0 ? "" : stack.slice(start).slice(0, MAX_STACK_CHARS);
}
