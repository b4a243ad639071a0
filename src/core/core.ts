/**
 * Helpers that know nothing of requests, teams or hosts.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";

/** Thrown when an invariant of the program does not hold; always a bug. */
export class AssertionError extends Error {
  override readonly name = "AssertionError";
}

/** Closes a switch over a union: the compiler proves that no kind is left. */
export function assertNever(value: never): never {
  throw new AssertionError(`Unexpected kind "${JSON.stringify(value)}"`);
}

/** Limits a number to the closed range from low to high. */
export function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

/** Gives the entry for a key, made and stored first when absent. */
export function getOrCreate<K, V>(
  map: Map<K, V>,
  key: K,
  create: () => V,
): V {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  return created;
}

/** SHA-256 of the content, in hexadecimal. */
export function getDigest(content: string | Uint8Array): string {
  return createHash("sha256").update(content).digest("hex");
}

/** Compares two secrets or digests without telling by time where they differ. */
export function isEqualInConstantTime(a: string, b: string): boolean {
  const left = createHash("sha256").update(a).digest();
  const right = createHash("sha256").update(b).digest();
  return timingSafeEqual(left, right);
}
