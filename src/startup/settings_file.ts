/**
 * The settings file of a process, which may be absent or half written when it
 * is read, and may become unreadable while the process runs.
 *
 * @module
 */

import { readFileSync, statSync } from "node:fs";

/** A settings file that may be half written. */
export interface SettingsFile<T> {
  /** Reads the file; throws if it can't be used now. */
  read(): T;
  /** Identifies the content, as far as the file system tells; may throw. */
  getVersion(): string;
}

/** Opens a settings file, of which the text is decoded by the function. */
export function createSettingsFile<T>(
  path: string,
  decode: (text: string) => T,
): SettingsFile<T> {
  let unfinished: string | undefined;

  /** A text that ends within a line is whole only if no more of it comes. */
  function checkWhole(text: string): void {
    const isWhole = text.endsWith("\n") || text === unfinished;
    unfinished = text;
    if (!isWhole) {
      throw new Error(`The settings file "${path}" ends within a line`);
    }
  }

  return {
    read() {
      const text = readFileSync(path, "utf8");
      const settings = decode(text);
      checkWhole(text);
      return settings;
    },
    getVersion() {
      const { mtimeMs, ctimeMs, size, ino } = statSync(path);
      return `${mtimeMs} ${ctimeMs} ${size} ${ino}`;
    },
  };
}

/** What a watch of settings tells, once for each change. */
export interface SettingsWatchHost {
  onReloaded(reason: string): void;
  onRefused(reason: string): void;
}

/** Watches a settings file while the process runs. Never throws. */
export interface SettingsWatch {
  /** Looks whether the file has changed. */
  poll(): void;
  /** Reads the file, changed or not. */
  reload(reason: string): void;
}

/** Creates a watch of a file that was read at this version. */
export function createSettingsWatch(
  file: SettingsFile<unknown>,
  startVersion: string,
  host: SettingsWatchHost,
): SettingsWatch {
  let version = startVersion;
  let refusal: string | undefined;

  function tryGetRefusal(): string | undefined {
    try {
      // First, so that what is written meanwhile is a change for the next poll.
      version = file.getVersion();
      file.read();
      return undefined;
    } catch (err) {
      return String(err);
    }
  }

  function isUnchanged(): boolean {
    try {
      return file.getVersion() === version;
    } catch {
      return false;
    }
  }

  function check(reason: string, lastRefusal: string | undefined): void {
    refusal = tryGetRefusal();
    if (refusal === undefined) host.onReloaded(reason);
    else if (refusal !== lastRefusal) host.onRefused(`${reason}: ${refusal}`);
  }

  return {
    poll() {
      // What was refused may become valid without a sign of it.
      if (refusal === undefined && isUnchanged()) return;
      check("The file has changed", refusal);
    },
    reload: (reason) => check(reason, undefined),
  };
}
