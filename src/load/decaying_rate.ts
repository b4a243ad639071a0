/**
 * A rate with exponential decay: recent amounts count most, older ones decay.
 *
 * @module
 */

/** A rate in units per second. */
export interface DecayingRate {
  add(amount: number, nowMs: number): void;
  get(nowMs: number): number;
}

/** Creates a rate of zero with the half-life given. */
export function createDecayingRate(halfLifeMs: number): DecayingRate {
  // The rate is the sum of the decayed amounts divided by their mean lifetime.
  const meanLifeS = halfLifeMs / Math.LN2 / 1_000;
  let sum = 0;
  let updatedMs = 0;

  function decay(nowMs: number): void {
    sum *= 0.5 ** ((nowMs - updatedMs) / halfLifeMs);
    updatedMs = nowMs;
  }

  return {
    add(amount, nowMs) {
      decay(nowMs);
      sum += amount;
    },
    get(nowMs) {
      decay(nowMs);
      return sum / meanLifeS;
    },
  };
}
