/**
 * A rate that forgets: events of the last seconds count, older ones fade.
 *
 * @module
 */

/** A rate in units a second. */
export interface Rate {
  add(amount: number, nowMs: number): void;
  get(nowMs: number): number;
}

/** Makes a rate of zero that fades to a half in the time given. */
export function createRate(halfLifeMs: number): Rate {
  // The sum of fading amounts over its mean life is the rate.
  const meanLifeS = halfLifeMs / Math.LN2 / 1_000;
  let sum = 0;
  let atMs = 0;

  function fade(nowMs: number): void {
    sum *= 0.5 ** ((nowMs - atMs) / halfLifeMs);
    atMs = nowMs;
  }

  return {
    add(amount, nowMs) {
      fade(nowMs);
      sum += amount;
    },
    get(nowMs) {
      fade(nowMs);
      return sum / meanLifeS;
    },
  };
}
