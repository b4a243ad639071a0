/**
 * Samples the pauses between the events of one response for the pacing of its
 * service.
 *
 * Load: responses of a few events beside responses of hundreds.
 *
 * Failure prevented: if a response is counted once for each second that it
 * lasts, and immediately when it pauses too long, a short response is counted
 * only if it is late. Nearly all counted responses are then late, and the
 * prefill limit falls to its minimum.
 *
 * @module
 */

/** Parameters of a sampler. A pause of up to `targetMs` is on time. */
export interface PauseSamplerOptions {
  readonly targetMs: number;
  /**
   * Called with true once the response is late, and until then with false once
   * in each sample period.
   */
  onSample(isLate: boolean): void;
}

/** Samples the pauses of one response. */
export interface PauseSampler {
  /** Records an event that came after a pause; both values in ms. */
  addPause(pauseMs: number, nowMs: number): void;
  /** Records the end of the response. */
  end(): void;
}

/** A response without a late pause counts once in this period, in ms. */
const SAMPLE_PERIOD_MS = 1_000;

/** Creates a sampler for a response that has not started. */
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
