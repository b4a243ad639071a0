/**
 * Tells the pacing of a service how the answers of its upstreams go on.
 *
 * Load: answers of a few events beside answers of hundreds. Harm prevented: an
 * answer counted once in each second that it went on, and at once when it paused
 * too long. One that ended sooner counted only when it was late, so that nearly
 * all counted answers were late, and the limit of reading fell to its floor.
 *
 * @module
 */

/** A pause at most so long is on time, in ms; an answer counts once in a while. */
export interface PauseSamplerOptions {
  readonly targetMs: number;
  /** Told once that the answer is late, else once in a while that it is not. */
  onSample(isLate: boolean): void;
}

/** The pauses of one answer. */
export interface PauseSampler {
  /** An event has come after a pause of so long; both in ms. */
  addPause(pauseMs: number, nowMs: number): void;
  /** The answer has come to its end. */
  end(): void;
}

/** An answer without a late pause counts once in so long, in ms. */
const SAMPLE_PERIOD_MS = 1_000;

/** Makes the notes of an answer that has not begun. */
export function createPauseSampler(options: PauseSamplerOptions): PauseSampler {
  let isLate = false;
  let hasSample = false;
  let sampledMs: number | undefined;

  function addSample(): void {
    hasSample = true;
    options.onSample(isLate);
  }

  return {
    addPause(pauseMs, nowMs) {
      sampledMs ??= nowMs;
      if (isLate) return;
      isLate = pauseMs > options.targetMs;
      if (!isLate && nowMs - sampledMs < SAMPLE_PERIOD_MS) return;
      sampledMs = nowMs;
      addSample();
    },
    end() {
      if (!hasSample) addSample();
    },
  };
}
