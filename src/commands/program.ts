/**
 * Runs the command-line programs: parses options, handles `--help` and
 * `--version`, and turns errors into messages and exit codes. A program itself
 * is a function from its options to the name of an exit.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { stripVTControlCharacters } from "node:util";
import {
  type ArgsDef,
  type CommandDef,
  defineCommand,
  type ParsedArgs,
  renderUsage,
  runCommand,
} from "citty";
import { closest } from "fastest-levenshtein";
import { ConfigError } from "../config/mod.ts";
import { getErrorMessage } from "../core/mod.ts";
import { CommandError, createUsageError } from "./errors.ts";
import { exitCodes, type ExitName, formatExitCodes } from "./exit_codes.ts";
import { createFleetClient, type FleetClient } from "./fleet_client.ts";
import { getExitName, OperatorCallError } from "./operator_client.ts";

/** A command-line program. */
export interface Program<A extends ArgsDef> {
  readonly name: string;
  readonly description: string;
  readonly args: A;
  /** Exits that it may end with, besides `ok`, `failed` and `usage`. */
  readonly exits: readonly ExitName[];
  run(args: ParsedArgs<A>, host: ProgramHost): Promise<ExitName>;
}

/** Dependencies of a program that the process provides. */
export interface ProgramHost {
  /** The command-line arguments; they never contain a key. */
  readonly rawArgs: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  print(text: string): void;
  printError(text: string): void;
  createFleetClient(addresses: readonly string[], key: string): FleetClient;
  /** Milliseconds of the monotonic clock. */
  nowMs(): number;
  sleep(ms: number): Promise<void>;
}

/** The dependencies as the operating system's process provides them. */
export const processHost: ProgramHost = {
  rawArgs: process.argv.slice(2),
  env: process.env,
  print: (text) => void process.stdout.write(`${text}\n`),
  printError: (text) => void process.stderr.write(`${text}\n`),
  createFleetClient,
  nowMs: () => performance.now(),
  sleep: (ms) => sleep(ms),
};

/** Runs a program and sets the exit code of the process. */
export async function runProgram<A extends ArgsDef>(
  program: Program<A>,
): Promise<void> {
  // `azurestile-timeline | head` closes the pipe early, which is not a failure.
  process.stdout.on("error", (err: NodeJS.ErrnoException) => {
    if (err.code === "EPIPE") process.exit(exitCodes.ok.code);
    throw err;
  });
  const exit = await runProgramWith(program, processHost);
  process.exitCode = exitCodes[exit].code;
}

/** Runs a program with the given dependencies; returns the name of its exit. */
export async function runProgramWith<A extends ArgsDef>(
  program: Program<A>,
  host: ProgramHost,
): Promise<ExitName> {
  const rawArgs = [...host.rawArgs];
  if (rawArgs.includes("--help") || rawArgs.includes("-h")) {
    host.print(await getHelp(program, host));
    return "ok";
  }
  if (rawArgs.includes("--version")) {
    host.print(getVersion());
    return "ok";
  }
  try {
    checkOptions(program, rawArgs);
    const { result } = await runCommand(toCommand(program, host), { rawArgs });
    return result as ExitName;
  } catch (err) {
    return reportError(program, err, host);
  }
}

/** The version of the package. */
export function getVersion(): string {
  const file = new URL("../../package.json", import.meta.url);
  const parsed = JSON.parse(readFileSync(file, "utf8")) as { version: string };
  return parsed.version;
}

function toCommand<A extends ArgsDef>(
  program: Program<A>,
  host: ProgramHost,
): CommandDef<A> {
  return defineCommand({
    meta: {
      name: program.name,
      version: getVersion(),
      description: program.description,
    },
    args: program.args,
    run: ({ args }) => program.run(args as ParsedArgs<A>, host),
  }) as CommandDef<A>;
}

async function getHelp<A extends ArgsDef>(
  program: Program<A>,
  host: ProgramHost,
): Promise<string> {
  const colored = await renderUsage(toCommand(program, host) as CommandDef);
  const usage = process.stdout.isTTY
    ? colored
    : stripVTControlCharacters(colored);
  const exits = formatExitCodes(["ok", "failed", "usage", ...program.exits]);
  return `${usage.trimEnd()}\n\nEXIT CODES\n\n${exits}`;
}

/** Rejects unknown options and arguments, which the parser would ignore. */
function checkOptions(
  program: { readonly args: ArgsDef },
  rawArgs: readonly string[],
): void {
  const names = Object.keys(program.args);
  const options = names.filter((name) =>
    program.args[name]!.type !== "positional"
  );
  const positionals = names.length - options.length;
  let seen = 0;
  for (let index = 0; index < rawArgs.length; index++) {
    const arg = rawArgs[index]!;
    if (!arg.startsWith("--")) {
      if (++seen > positionals) throw createUsageError("extraArgument", [arg]);
      continue;
    }
    const [name = "", value] = arg.slice(2).split(/=(.*)/s);
    if (!options.includes(name)) {
      const nearest = closest(name, [...options, "help", "version"]);
      throw createUsageError("unknownOption", [name, nearest]);
    }
    if (program.args[name]!.type === "boolean" || value !== undefined) continue;
    index++;
    if (index >= rawArgs.length || rawArgs[index]!.startsWith("--")) {
      throw createUsageError("optionNeedsValue", [name]);
    }
  }
}

function reportError(
  program: { readonly name: string },
  err: unknown,
  host: ProgramHost,
): ExitName {
  if (err instanceof ConfigError) {
    host.printError(err.message);
    return "usage";
  }
  if (err instanceof OperatorCallError || err instanceof CommandError) {
    host.printError(`${program.name}: ${err.message}`);
    return err instanceof CommandError ? err.exit : getExitName(err);
  }
  const isUsage = err instanceof Error && err.name === "CLIError";
  const reason = getErrorMessage(err);
  host.printError(`${program.name}: ${reason}`);
  if (!isUsage) return "failed";
  host.printError(`See ${program.name} --help`);
  return "usage";
}
