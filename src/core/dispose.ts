/**
 * Resources that are opened one by one and released together.
 *
 * @module
 */

import type { OpenAddress } from "./listen.ts";

/** Opens an address, and owns what is opened there. */
export type OpenOwned = <T extends AsyncDisposable>(
  address: string,
  run: () => Promise<T>,
) => Promise<T>;

/** Adds what is opened by the function to the list, to be released with it. */
export function createOwnedOpener(
  open: OpenAddress,
  opened: AsyncDisposable[],
): OpenOwned {
  return async (address, run) => {
    const result = await open(address, run);
    opened.push(result);
    return result;
  };
}

/** Disposes of all, in the reverse of their order. */
export async function disposeAll(
  opened: readonly AsyncDisposable[],
): Promise<void> {
  for (const each of opened.toReversed()) await each[Symbol.asyncDispose]();
}

/**
 * Runs a start that adds each resource to the list it gets. If the start fails,
 * those that it has added are released.
 */
export async function releaseOnFailure<T>(
  start: (opened: AsyncDisposable[]) => Promise<T>,
): Promise<T> {
  const opened: AsyncDisposable[] = [];
  try {
    return await start(opened);
  } catch (err) {
    await disposeAll(opened);
    throw err;
  }
}
