/**
 * Options that several programs share, and functions that read their values.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { getErrorMessage } from "../core/mod.ts";
import { createUsageError } from "./errors.ts";
import type { FleetClient } from "./fleet_client.ts";
import type { ProgramHost } from "./program.ts";

/** Environment variable with the operator's key. */
export const KEY_VARIABLE = "AZURESTILE_OPERATOR_KEY";

/** Environment variable with the routers' addresses. */
export const ROUTER_VARIABLE = "AZURESTILE_ROUTER";

/**
 * Options by which a program finds the fleet. The key itself is never an
 * option, since the list of processes would expose it.
 */
export const fleetArgs = {
  router: {
    type: "string",
    valueHint: "ADDRESS",
    description: "Public address of any router, or several, comma-separated " +
      `(default: from ${ROUTER_VARIABLE})`,
  },
  "key-file": {
    type: "string",
    valueHint: "FILE",
    description: `File with the operator's key (default: from ${KEY_VARIABLE})`,
  },
} as const;

/** Option of queries to print JSON instead of text. */
export const jsonArg = {
  json: { type: "boolean", description: "Print JSON" },
} as const;

interface FleetOptions {
  readonly router?: string | undefined;
  readonly "key-file"?: string | undefined;
}

/** Makes a client of the fleet from the options and the environment. */
export function createClientFromOptions(
  options: FleetOptions,
  host: ProgramHost,
): FleetClient {
  const routers = options.router ?? host.env[ROUTER_VARIABLE] ?? "";
  const addresses = routers.split(",").map((each) => each.trim())
    .filter((each) => each !== "");
  if (addresses.length === 0) {
    throw createUsageError("routerNeeded", [ROUTER_VARIABLE]);
  }
  return host.createFleetClient(addresses, readKey(options["key-file"], host));
}

/** Reads a number; throws a usage error with the allowed range. */
export function readNumberOption(
  name: string,
  text: string,
  range: { min: number; max: number; unit: string },
): number {
  const value = Number(text);
  const { min, max, unit } = range;
  if (text !== "" && value >= min && value <= max) return value;
  throw createUsageError("optionNotAllowed", [
    name,
    text,
    `a number from ${min} to ${max} (${unit})`,
  ]);
}

function readKey(file: string | undefined, host: ProgramHost): string {
  if (file === undefined) {
    const key = (host.env[KEY_VARIABLE] ?? "").trim();
    if (key === "") throw createUsageError("keyNeeded", [KEY_VARIABLE]);
    return key;
  }
  try {
    return readFileSync(file, "utf8").trim();
  } catch (err) {
    const reason = getErrorMessage(err);
    throw createUsageError("keyFileUnreadable", [file, reason]);
  }
}
