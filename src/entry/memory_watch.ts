/**
 * Watches how near this process comes to the memory above which it is killed,
 * and logs it with its parts: a killed process writes no line of its own.
 *
 * Load: bytes that this host doesn't count, such as garbage that is not yet
 * collected, many small objects, or what the allocator keeps. Failure prevented:
 * a process is gone, and nothing tells that it was its memory, or which part.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { ProcessMemory } from "./process_use.ts";

/** What the host itself holds. */
export interface HeldParts {
  readonly requestBytes: number;
  readonly responseBytes: number;
  /** Open connections of callers. */
  readonly connections: number;
  /** Requests whose answers are not whole. */
  readonly inFlight: number;
}

/** The process's memory, as logged. */
export interface MemoryState extends ProcessMemory, HeldParts {
  readonly isHigh: boolean;
  readonly limitBytes: number;
}

/** Dependencies of the watch. */
export interface MemoryWatchHost {
  readonly clock: Clock;
  /** Memory above which the process is killed, in bytes. */
  readonly limitBytes: number;
  /** Resident memory in bytes; `undefined` if it can't be read now. */
  tryReadResidentBytes(): number | undefined;
  /** Costs more than the resident memory. */
  tryReadMemory(): ProcessMemory | undefined;
  getHeld(): HeldParts;
  /** Called when the memory becomes high, rises further, and is low again. */
  onChanged(state: MemoryState): void;
}

/** Watches the memory. */
export interface MemoryWatch {
  /** Called by a timer, many times per second. */
  tick(): void;
}

/** Time between two readings, in ms. */
const READ_INTERVAL_MS = 1_000;

/** Share of the limit from which on the memory is high. */
const HIGH_SHARE = 3 / 4;

/** Share of the limit below which it no longer is. */
const LOW_SHARE = 2 / 3;

/** Rise, as a share of the limit, after which it is logged once more. */
const LOGGED_RISE_SHARE = 1 / 32;

/** Creates a watch that has not read anything yet. */
export function createMemoryWatch(host: MemoryWatchHost): MemoryWatch {
  const { clock, limitBytes } = host;
  let readMs = -Infinity;
  /** Share that was logged last; `undefined` while the memory is low. */
  let loggedShare: number | undefined;

  /** Without a reading of the parts, the next check reports. */
  function report(residentBytes: number, isHigh: boolean): void {
    const memory = host.tryReadMemory();
    if (memory === undefined) return;
    loggedShare = isHigh ? residentBytes / limitBytes : undefined;
    host.onChanged({
      isHigh,
      limitBytes,
      ...memory,
      residentBytes,
      ...host.getHeld(),
    });
  }

  function check(residentBytes: number): void {
    const share = residentBytes / limitBytes;
    if (loggedShare === undefined) {
      if (share >= HIGH_SHARE) report(residentBytes, true);
    } else if (share < LOW_SHARE) report(residentBytes, false);
    else if (share >= loggedShare + LOGGED_RISE_SHARE) {
      report(residentBytes, true);
    }
  }

  return {
    tick() {
      const nowMs = clock.monotonicMs();
      if (nowMs - readMs < READ_INTERVAL_MS) return;
      readMs = nowMs;
      const residentBytes = host.tryReadResidentBytes();
      if (residentBytes !== undefined) check(residentBytes);
    },
  };
}
