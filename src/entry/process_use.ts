/**
 * Reads the memory and the processor time that this process uses.
 *
 * Failure prevented: the resident memory is read from a file. In a process whose
 * descriptors are all in use that throws, and an exception in a timer would end
 * the process and all its requests.
 *
 * @module
 */

import process from "node:process";

/** The memory of the process, in bytes. */
export interface ProcessMemory {
  readonly residentBytes: number;
  readonly heapUsed: number;
  /** Outside of the heap, array buffers included. */
  readonly external: number;
  readonly arrayBuffers: number;
}

/** System call that a failed reading names. */
const RESIDENT_CALL = "uv_resident_set_memory";

/**
 * Returns what `read` returns; `undefined` if the system does not let this
 * process read its memory now.
 */
function tryRead<T>(read: () => T): T | undefined {
  try {
    return read();
  } catch (err) {
    if ((err as NodeJS.ErrnoException).syscall === RESIDENT_CALL) return;
    throw err;
  }
}

/** Returns the resident memory in bytes, which takes three system calls. */
export function tryReadResidentBytes(): number | undefined {
  return tryRead(process.memoryUsage.rss);
}

/** Returns all parts, which costs more than the resident memory alone. */
export function tryReadMemory(): ProcessMemory | undefined {
  return tryRead(() => {
    const { rss, heapUsed, external, arrayBuffers } = process.memoryUsage();
    return { residentBytes: rss, heapUsed, external, arrayBuffers };
  });
}

/** Returns the processor time of the process since its start, in ms. */
export function readProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}
