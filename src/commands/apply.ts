/**
 * `azurestile-apply DIR`: checks a set of files, prints its difference to the
 * newest accepted version, has it accepted on top of exactly that version, and
 * waits until all live hosts have it in force.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import {
  type ConflictDetails,
  decodeFileSet,
  type FileSet,
  formatDifferences,
  formatEntry,
  getFileSetDigest,
  readFileSet,
  type VersionRow,
} from "../config/mod.ts";
import type {
  ApplyBody,
  ConfigAnswer,
  HostStatus,
} from "../router/operator_types.ts";
import type { FleetClient } from "./fleet_client.ts";
import { OperatorCallError, type OperatorClient } from "./operator_client.ts";
import {
  createClientFromOptions,
  fleetArgs,
  readNumberOption,
} from "./options.ts";
import type { Program, ProgramHost } from "./program.ts";

const args = {
  dir: {
    type: "positional",
    required: true,
    description: "Folder of the deployment's files",
  },
  ...fleetArgs,
  "dry-run": {
    type: "boolean",
    description: "Only check the files and print the difference",
  },
  base: {
    type: "string",
    valueHint: "VERSION",
    description: "Apply only on top of this version, as shown by --dry-run " +
      "(default: the newest)",
  },
  wait: {
    type: "string",
    default: "15",
    valueHint: "SECONDS",
    description: "How long to wait until every host has the version in force",
  },
} as const;

/** How often an attempt is sent in total if its responses are lost. */
const MAX_SENDS = 3;
const RESEND_DELAY_MS = 1_000;
const POLL_PERIOD_MS = 250;

/** The program. */
export const applyProgram: Program<typeof args> = {
  name: "azurestile-apply",
  description: "Applies a deployment's files as one version",
  args,
  exits: ["conflict", "notInForce", "unreachable", "keyRefused"],
  async run(options, host) {
    const { print } = host;
    const waitMs = 1000 * readNumberOption("wait", options.wait, {
      min: 0,
      max: 3600,
      unit: "seconds",
    });
    const files = readFileSet(options.dir);
    decodeFileSet(files);
    const fleet = createClientFromOptions(options, host);
    const router = await fleet.getRouter();
    const newest = await router.get<ConfigAnswer>("/ops/config");
    const newestVersion = newest.row?.version ?? 0;
    if (newest.row?.digest === getFileSetDigest(files)) {
      print(`Version ${newestVersion} already has this set of files`);
      return await waitForHosts(host, fleet, {
        version: newestVersion,
        waitMs,
      });
    }
    print(`Difference to version ${newestVersion}:`);
    printChanges(print, newest.files, files);
    if (options["dry-run"]) {
      print(`Not applied; to apply it, use --base ${newestVersion}`);
      return "ok";
    }
    const baseVersion = options.base === undefined
      ? newestVersion
      : readNumberOption("base", options.base, {
        min: 0,
        max: Number.MAX_SAFE_INTEGER,
        unit: "version",
      });
    const row = await tryApply(host, router, { files, baseVersion });
    if (row === undefined) return "conflict";
    print(`Accepted as version ${row.version} (${row.digest.slice(0, 8)})`);
    return await waitForHosts(host, fleet, { version: row.version, waitMs });
  },
};

function printChanges(
  print: ProgramHost["print"],
  before: FileSet | undefined,
  after: FileSet,
): void {
  const old = before === undefined ? undefined : decodeFileSet(before);
  const changes = formatDifferences(old, decodeFileSet(after));
  if (changes.length === 0) print("  only comments, order or spacing");
  for (const line of changes) print(`  ${line}`);
}

/** Returns `undefined` for a conflict, after printing its details. */
async function tryApply(
  host: ProgramHost,
  router: OperatorClient,
  body: Omit<ApplyBody, "attempt">,
): Promise<VersionRow | undefined> {
  try {
    return await sendWithRetries(host, router, {
      ...body,
      attempt: randomUUID(),
    });
  } catch (err) {
    const isConflict = err instanceof OperatorCallError && err.status === 409;
    if (!isConflict) throw err;
    host.printError(`azurestile-apply: ${err.reason}`);
    await printConflict(host, router, body.baseVersion);
    const { overlapping = [] } = err.answer as Partial<ConflictDetails>;
    for (const each of overlapping) {
      host.printError(`You both changed ${formatEntry(each)}`);
    }
    return undefined;
  }
}

/**
 * Sends an attempt again if its response is lost. The version may have been
 * accepted; the record recognises the attempt id and returns that version.
 */
async function sendWithRetries(
  host: ProgramHost,
  router: OperatorClient,
  body: ApplyBody,
): Promise<VersionRow> {
  for (let sends = 1;; sends++) {
    try {
      return await router.post<VersionRow>("/ops/config", body);
    } catch (err) {
      const isRetryable = err instanceof OperatorCallError &&
        (err.status === 0 || err.status >= 500);
      if (!isRetryable || sends >= MAX_SENDS) throw err;
      host.printError(`azurestile-apply: ${err.reason}; sending again`);
      await host.sleep(RESEND_DELAY_MS);
    }
  }
}

/** Prints who applied the newest version, and how it differs from the base. */
async function printConflict(
  { printError }: ProgramHost,
  router: OperatorClient,
  baseVersion: number,
): Promise<void> {
  const newest = await router.get<ConfigAnswer>("/ops/config");
  const { row, files } = newest;
  if (row === undefined || files === undefined) return;
  const time = new Date(row.acceptedMs).toISOString();
  printError(`Version ${row.version} by ${row.author} at ${time} came first.`);
  if (baseVersion === 0 || baseVersion > row.version) return;
  const base = await router.get<ConfigAnswer>(
    `/ops/config?version=${baseVersion}`,
  );
  if (base.files === undefined) return;
  const changes = formatDifferences(
    decodeFileSet(base.files),
    decodeFileSet(files),
  );
  printError(`It differs from version ${baseVersion}, which you saw:`);
  for (const line of changes) printError(`  ${line}`);
}

/** Waits until every live host has the version or a later one in force. */
async function waitForHosts(
  host: ProgramHost,
  fleet: FleetClient,
  { version, waitMs }: { version: number; waitMs: number },
): Promise<"ok" | "notInForce"> {
  const { print, printError } = host;
  const startMs = host.nowMs();
  while (true) {
    const answers = await fleet.queryAllHosts<HostStatus>("/ops/status");
    const outdated = answers.flatMap((answer) => {
      if (answer.kind === "silent") {
        return [`${answer.host}: no answer: ${answer.reason}`];
      }
      const { configVersion, notReady } = answer.value;
      if (configVersion >= version) return [];
      const why = notReady === undefined ? "" : ` (${notReady})`;
      return [`${answer.host}: version ${configVersion} is in force${why}`];
    });
    const tookMs = host.nowMs() - startMs;
    if (outdated.length === 0) {
      const seconds = (tookMs / 1000).toFixed(1);
      const hosts = answers.map((answer) => answer.host).join(", ");
      print(
        `In force at ${answers.length} of ${answers.length} hosts ` +
          `after ${seconds} s: ${hosts}`,
      );
      return "ok";
    }
    if (tookMs >= waitMs) {
      const count = answers.length - outdated.length;
      printError(`In force at ${count} of ${answers.length} hosts only:`);
      for (const line of outdated) printError(`  ${line}`);
      return "notInForce";
    }
    await host.sleep(POLL_PERIOD_MS);
  }
}
