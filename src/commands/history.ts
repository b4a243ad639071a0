/**
 * `azurestile-history`: lists the accepted configuration versions, prints the
 * difference between two of them, and exports the files of one.
 *
 * @module
 */

import { existsSync, mkdirSync, readdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import {
  decodeFileSet,
  deploymentFiles,
  type FileSet,
  formatDifferences,
} from "../config/mod.ts";
import type { ConfigAnswer, HistoryAnswer } from "../router/operator_types.ts";
import { createUsageError } from "./errors.ts";
import { formatTable } from "./format_table.ts";
import type { OperatorClient } from "./operator_client.ts";
import {
  createClientFromOptions,
  fleetArgs,
  jsonArg,
  readNumberOption,
} from "./options.ts";
import type { Program, ProgramHost } from "./program.ts";

const args = {
  ...fleetArgs,
  from: {
    type: "string",
    valueHint: "VERSION",
    description: "Print the difference from this version (0: empty)",
  },
  to: {
    type: "string",
    valueHint: "VERSION",
    description: "Print the difference to this version (default: the newest)",
  },
  export: {
    type: "string",
    valueHint: "VERSION",
    description: "Write the files of this version; needs --dir",
  },
  dir: {
    type: "string",
    valueHint: "DIR",
    description: "New or empty folder for the files of --export",
  },
  limit: {
    type: "string",
    default: "20",
    valueHint: "COUNT",
    description: "How many of the newest versions to list",
  },
  ...jsonArg,
} as const;

/** The program. */
export const historyProgram: Program<typeof args> = {
  name: "azurestile-history",
  description: "Shows the record of accepted configurations",
  args,
  exits: ["notFound", "unreachable", "keyRefused"],
  async run(options, host) {
    const limit = readNumberOption("limit", options.limit, {
      min: 1,
      max: 1_000_000,
      unit: "versions",
    });
    const router = await createClientFromOptions(options, host).getRouter();
    if (options.export !== undefined) {
      const version = readVersion("export", options.export);
      await exportFiles(host, router, {
        version,
        folder: options.dir ?? "",
      });
    } else if (options.from !== undefined || options.to !== undefined) {
      await showDifference(host, router, options);
    } else {
      await list(host, router, { limit, isJson: options.json === true });
    }
    return "ok";
  },
};

async function list(
  { print }: ProgramHost,
  router: OperatorClient,
  { limit, isJson }: { limit: number; isJson: boolean },
): Promise<void> {
  const { versions } = await router.get<HistoryAnswer>(
    `/ops/history?limit=${limit}`,
  );
  const shown = versions.slice(-limit);
  if (isJson) {
    print(JSON.stringify({ versions: shown }, undefined, 2));
    return;
  }
  const rows = shown.map((row) => [
    row.version,
    new Date(row.acceptedMs).toISOString(),
    row.author,
    row.digest.slice(0, 8),
    row.parent,
  ]);
  print(formatTable(["version", "accepted", "author", "digest", "on"], rows));
}

async function showDifference(
  { print }: ProgramHost,
  router: OperatorClient,
  options: { from?: string | undefined; to?: string | undefined },
): Promise<void> {
  const to = options.to === undefined
    ? await router.get<ConfigAnswer>("/ops/config")
    : await getVersion(router, readVersion("to", options.to));
  if (to.row === undefined || to.files === undefined) {
    print("No configuration was accepted yet");
    return;
  }
  const from = options.from === undefined
    ? to.row.parent
    : readVersion("from", options.from);
  const before = from === 0
    ? undefined
    : (await getVersion(router, from)).files;
  print(`From version ${from} to version ${to.row.version}:`);
  const changes = formatDifferences(
    before === undefined ? undefined : decodeFileSet(before),
    decodeFileSet(to.files),
  );
  if (changes.length === 0) print("  only comments, order or spacing");
  for (const line of changes) print(`  ${line}`);
}

async function exportFiles(
  { print }: ProgramHost,
  router: OperatorClient,
  { version, folder }: { version: number; folder: string },
): Promise<void> {
  if (folder === "") throw createUsageError("optionNeedsValue", ["dir"]);
  if (existsSync(folder) && readdirSync(folder).length > 0) {
    throw createUsageError("folderNotEmpty", [folder]);
  }
  const { files } = await getVersion(router, version);
  writeFiles(folder, files ?? {});
  print(`Wrote the files of version ${version} to ${folder}`);
}

function writeFiles(folder: string, files: FileSet): void {
  mkdirSync(folder, { recursive: true });
  for (const name of deploymentFiles) {
    writeFileSync(join(folder, name), files[name] ?? "");
  }
}

function getVersion(
  router: OperatorClient,
  version: number,
): Promise<ConfigAnswer> {
  return router.get<ConfigAnswer>(`/ops/config?version=${version}`);
}

function readVersion(name: string, text: string): number {
  const max = Number.MAX_SAFE_INTEGER;
  return readNumberOption(name, text, { min: 0, max, unit: "version" });
}
