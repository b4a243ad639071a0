/**
 * General helpers: assertions, errors, numbers, maps and digests.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";

/** Thrown if an invariant is violated, which is always a bug. */
export class AssertionError extends Error {
  override readonly name = "AssertionError";
}

/**
 * Ends a switch over a union; compiles only if all of its kinds are handled.
 */
export function assertNever(value: never): never {
  throw new AssertionError(`Unexpected kind "${JSON.stringify(value)}"`);
}

/** What an error says; anything can be thrown, not only errors. */
export function getErrorMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** Limits a number to the inclusive range from low to high. */
export function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

/** Returns the value of a key; creates and stores it if it is absent. */
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

/** Removes the entries that were added first, until at most `limit` remain. */
export function dropOldest<K>(
  entries: Map<K, unknown> | Set<K>,
  limit: number,
): void {
  while (entries.size > limit) entries.delete(entries.keys().next().value!);
}

/** The SHA-256 of the content in hexadecimal. */
export function getDigest(content: string | Uint8Array): string {
  return createHash("sha256").update(content).digest("hex");
}

/** Compares secrets in a time that does not depend on where they differ. */
export function isEqualInConstantTime(a: string, b: string): boolean {
  const left = createHash("sha256").update(a).digest();
  const right = createHash("sha256").update(b).digest();
  return timingSafeEqual(left, right);
}

/** The type with properties that may be assigned. */
export type Mutable<T> = { -readonly [Key in keyof T]: T[Key] };
