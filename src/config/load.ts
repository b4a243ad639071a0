/**
 * Reads and checks the declarative TOML files and the settings of a process.
 * The module does not use the network, so `azurestile-check` runs it offline.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { join } from "node:path";
import { getDigest, getErrorMessage } from "../core/mod.ts";
import type { Deployment } from "../types.ts";
import { getDeploymentProblems, getSettingsProblems } from "./cross_checks.ts";
import { decodeFile } from "./decode.ts";
import { ConfigError, type ConfigProblem, throwIfProblems } from "./errors.ts";
import {
  type DeploymentFile,
  deploymentFiles,
  fileSchemas,
  type RouterSettings,
  settingsSchema,
  tableFields,
} from "./schema.ts";

/** Texts of a deployment's files, by file name. */
export type FileSet = Readonly<Record<string, string>>;

/** Reads the files of a folder; throws `ConfigError` for unreadable ones. */
export function readFileSet(folder: string): FileSet {
  const files: Record<string, string> = {};
  const problems: ConfigProblem[] = [];
  for (const name of deploymentFiles) {
    const file = join(folder, name);
    try {
      files[name] = readFileSync(file, "utf8");
    } catch (err) {
      problems.push(createUnreadableProblem(file, err));
    }
  }
  throwIfProblems(problems);
  return files;
}

/**
 * Decodes and cross-checks a set of files; throws `ConfigError` with all their
 * problems. The cross-checks run only if each file is valid by itself.
 */
export function decodeFileSet(files: FileSet): Deployment {
  const problems: ConfigProblem[] = [];
  const merged: Record<string, unknown> = {};
  for (const name of deploymentFiles) {
    const decoded = decodeDeploymentFile(name, files[name]);
    if (decoded.kind === "wrong") problems.push(...decoded.problems);
    else Object.assign(merged, decoded.value);
  }
  throwIfProblems(problems);
  const deployment = merged as unknown as Deployment;
  throwIfProblems(getDeploymentProblems(deployment));
  return deployment;
}

/** The digest that identifies a set of files; their order does not matter. */
export function getFileSetDigest(files: FileSet): string {
  const ordered = deploymentFiles.map((name) => [name, files[name] ?? ""]);
  return getDigest(JSON.stringify(ordered));
}

/** Reads the settings of a router process; throws `ConfigError`. */
export function readSettings(file: string): RouterSettings {
  try {
    return decodeSettings(file, readFileSync(file, "utf8"));
  } catch (err) {
    if (err instanceof ConfigError) throw err;
    throw new ConfigError({ problems: [createUnreadableProblem(file, err)] });
  }
}

/** Decodes the text of a settings file; throws `ConfigError`. */
export function decodeSettings(file: string, text: string): RouterSettings {
  const decoded = decodeFile({
    file,
    text,
    schema: settingsSchema,
    tables: tableFields.settings,
  });
  if (decoded.kind === "wrong") {
    throw new ConfigError({ problems: decoded.problems });
  }
  throwIfProblems(getSettingsProblems(file, decoded.value));
  return decoded.value;
}

function decodeDeploymentFile(name: DeploymentFile, text: string | undefined) {
  if (text === undefined) {
    const problem = createUnreadableProblem(
      name,
      "the set of files does not contain it",
    );
    return { kind: "wrong" as const, problems: [problem] };
  }
  return decodeFile<typeof fileSchemas[DeploymentFile]>({
    file: name,
    text,
    schema: fileSchemas[name],
    tables: tableFields[name],
  });
}

function createUnreadableProblem(file: string, err: unknown): ConfigProblem {
  const reason = getErrorMessage(err);
  return { file, message: "configFileUnreadable", args: [reason] };
}
