/**
 * Command-line options shared by the programs that run real processes.
 *
 * @module
 */

/** Shifts every port, so that several runs can execute concurrently. */
export const portShiftArg = {
  type: "string",
  default: "0",
  description: "Added to every port",
} as const;
