/**
 * Reads declarative files and settings: TOML text to checked values. Nothing
 * here touches the network, so `azurestile-check` uses the same code offline.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { join } from "node:path";
import { getDigest } from "../core/mod.ts";
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

/** Texts of the deployment's files by name. */
export type FileSet = Readonly<Record<string, string>>;

/** Reads a deployment's folder; throws `ConfigError` for missing files. */
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
 * Decodes and cross-checks a set of files; throws `ConfigError` with all that
 * is wrong. What crosses files is checked once each file by itself is right.
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

/** The digest that names a set of files, whatever the order of its names. */
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
    const problem = createUnreadableProblem(name, "it is not in the set");
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
  const reason = err instanceof Error ? err.message : String(err);
  return { file, message: "configFileUnreadable", args: [reason] };
}
