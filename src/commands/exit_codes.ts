/**
 * The exit codes of all programs. The meaning of a code never changes, since
 * operators' scripts depend on it.
 *
 * @module
 */

/** Exit codes by name, each with its meaning. */
export const exitCodes = {
  ok: { code: 0, text: "Done; for a query: the answer is complete" },
  failed: { code: 1, text: "Failed; the message says why" },
  usage: { code: 2, text: "Wrong usage, settings or files; nothing was done" },
  conflict: {
    code: 3,
    text: "Another configuration was accepted first; nothing was changed",
  },
  notInForce: {
    code: 4,
    text: "Accepted, but not in force everywhere within the time given",
  },
  unreachable: { code: 5, text: "No router could be reached" },
  keyRefused: { code: 6, text: "The operator's key was refused" },
  partial: {
    code: 7,
    text: "A live host did not answer; the result lacks the data of that host",
  },
  notFound: { code: 8, text: "The requested item was not found" },
} as const satisfies Record<string, { code: number; text: string }>;

/** Name of an exit code. */
export type ExitName = keyof typeof exitCodes;

/** Formats the given exits for `--help`, one a line: code and meaning. */
export function formatExitCodes(names: readonly ExitName[]): string {
  return names
    .map((name) => exitCodes[name])
    .sort((a, b) => a.code - b.code)
    .map(({ code, text }) => `  ${code}  ${text}`)
    .join("\n");
}
