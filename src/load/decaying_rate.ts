/**
 * A rate that forgets: events of the last seconds count, older ones fade.
 *
 * @module
 */

/** A rate in units a second. */
export interface DecayingRate {
  add(amount: number, nowMs: number): void;
  get(nowMs: number): number;
}

/** Makes a rate of zero that fades to a half in the time given. */
export function createDecayingRate(halfLifeMs: number): DecayingRate {
  // The sum of fading amounts over its mean life is the rate.
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
