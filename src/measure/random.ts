/**
 * Reproducible random numbers for measurements and tests.
 *
 * @module
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns the next random number, at least 0 and less than 1. */
export type Random = () => number;

/** Creates a generator whose sequence depends only on the seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}
