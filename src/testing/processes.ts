/**
 * Starts and ends the processes of demos and failure runs. Only used in
 * development: the shipped programs start no processes.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

/** A started process. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
}

/** How to start a program. */
export interface StartOptions {
  readonly args: readonly string[];
  /** Called with each line of its standard output. */
  readonly onLine?: (line: string) => void;
}

/** The processes of one run; disposing the group ends all of them. */
export interface ProcessGroup extends AsyncDisposable {
  /** Starts a compiled program of this repository. */
  start(
    name: string,
    program: string,
    options: StartOptions,
  ): StartedProcess;
  /** Ends one process with the signal and waits for its exit. */
  end(started: StartedProcess, signal: NodeJS.Signals): Promise<void>;
  getAll(): readonly StartedProcess[];
}

const EXIT_TIMEOUT_MS = 5_000;

/** Exit code that shells report for a program ended by SIGINT (128 + 2). */
const INTERRUPTED_EXIT_CODE = 130;

/** Creates an empty group; each process logs to its own file in the folder. */
export function createProcessGroup(folder: string): ProcessGroup {
  const running = new Set<StartedProcess>();

  function killAll(): void {
    for (const { child } of running) child.kill("SIGKILL");
  }

  process.on("exit", killAll);

  async function end(
    started: StartedProcess,
    signal: NodeJS.Signals,
  ): Promise<void> {
    const { child } = started;
    running.delete(started);
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = once(child, "exit");
    child.kill(signal);
    // A process that SIGSTOP paused ignores SIGTERM, but SIGKILL ends it.
    const late = sleep(EXIT_TIMEOUT_MS, "late", { ref: false });
    if (await Promise.race([exited, late]) !== "late") return;
    child.kill("SIGKILL");
    await exited;
  }

  return {
    start(name, program, { args, onLine }) {
      const file = fileURLToPath(new URL(`../${program}`, import.meta.url));
      const child = spawn(process.execPath, [file, ...args], {
        stdio: ["ignore", "pipe", "pipe"],
        // A process group of its own, so that the terminal's interrupt reaches
        // only the launcher, which shuts the run down in order.
        detached: true,
      });
      const output = createWriteStream(join(folder, `${name}.log`), {
        flags: "a",
      });
      child.stdout.pipe(output, { end: false });
      child.stderr.pipe(output, { end: false });
      if (onLine !== undefined) {
        createInterface(child.stdout).on("line", onLine);
      }
      const started = { name, child };
      running.add(started);
      return started;
    },
    end,
    getAll: () => [...running],
    async [Symbol.asyncDispose]() {
      // SIGKILL, since no request is in flight any more and a drain of the
      // routers would only delay the end of the run.
      await Promise.all([...running].map((started) => end(started, "SIGKILL")));
      process.off("exit", killAll);
    },
  };
}

/**
 * Handles SIGINT and SIGTERM: the first calls `onFirst`, the second exits this
 * process, which ends all processes that it started.
 */
export function handleInterrupts(onFirst: () => void): void {
  let wasInterrupted = false;
  const onSignal = () => {
    if (wasInterrupted) process.exit(INTERRUPTED_EXIT_CODE);
    wasInterrupted = true;
    onFirst();
  };
  process.on("SIGINT", onSignal);
  process.on("SIGTERM", onSignal);
}
