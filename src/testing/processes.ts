/**
 * Starts and ends the processes of a demo or a failure run. The launcher is
 * scaffolding: what ships starts no process.
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

/** The processes of one run; disposing ends all of them. */
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

/** What a shell reports of a program that an interrupt ended. */
const INTERRUPTED_EXIT_CODE = 130;

/** Makes an empty group; output goes to one file a process in the folder. */
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
    // A stopped process takes no SIGTERM; SIGKILL ends it all the same.
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
        // In a group of its own: the terminal's interrupt comes to the launcher
        // alone, which ends the run in order.
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
      // Nothing is in flight any more, and a router's drain takes its time.
      await Promise.all([...running].map((started) => end(started, "SIGKILL")));
      process.off("exit", killAll);
    },
  };
}

/**
 * Handles interrupts: the first calls `onFirst`, the second ends this process,
 * and with it all that it started.
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
