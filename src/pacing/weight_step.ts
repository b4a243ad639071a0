/**
 * Chooses the weight of an upstream in the ranking of prompts from its relative
 * speed, in few steps and with hysteresis.
 *
 * Load: speeds that differ between upstreams by a factor of two and more, known
 * from tens of first events.
 *
 * Failure prevented: each change of a weight moves shared prefixes to upstreams
 * that have to prefill them again. Weights that follow the measured speed would
 * change all the time.
 *
 * Hosts that learned at different times can be on different steps for one speed
 * within the hysteresis, and would send a prefix to two upstreams as long as
 * they are. A host whose step has not changed for a while therefore takes the
 * mean step of all hosts.
 *
 * @module
 */

/** What is known of the upstream over all hosts. */
export interface WeightInput {
  readonly speed: number;
  /** Number of first events, decayed. */
  readonly samples: number;
  /** Number of first events of the other hosts, decayed. */
  readonly otherSamples: number;
  /** Sum of the other hosts' steps, weighted by their first events. */
  readonly otherSteps: number;
}

/** The weight of one upstream. */
export interface WeightStep {
  /** Moves the step if necessary; returns whether it has changed. */
  update(input: WeightInput): boolean;
  /** Returns the step; 0 is the weight 1. */
  getStep(): number;
  getWeight(): number;
}

/** Steps for each doubling of the weight. */
const STEPS_PER_DOUBLING = 2;

/** Largest step, and smallest with a minus sign: weights from 0.5 to 2. */
const MAX_STEP = 2;

/**
 * The step changes when the speed is more than this number of steps away from
 * it. At half a step, noise would move it back and forth.
 */
const MAX_DISTANCE = 0.75;

/** Number of first events, after decay, that a change needs. */
const MIN_SAMPLES = 8;

/**
 * Time after a change for which the other hosts' steps are not taken, in ms.
 * They change at the same time and are known after three exchanges at the
 * latest. Without this, the host would take their former step again.
 */
const ADOPT_AFTER_MS = 5_000;

/** Creates the weight of an upstream without samples: 1. */
export function createWeightStep(nowMs: () => number): WeightStep {
  let step = 0;
  let changedMs = -Infinity;

  function chooseStep(input: WeightInput): number {
    const position = getPosition(input.speed);
    const isNear = (each: number) => Math.abs(position - each) <= MAX_DISTANCE;
    const canAdopt = input.otherSamples >= MIN_SAMPLES &&
      nowMs() - changedMs >= ADOPT_AFTER_MS;
    const ownSamples = input.samples - input.otherSamples;
    // This host's own step counts as well. Without it, two hosts with half of
    // the samples each would take each other's step again and again.
    const meanStep = Math.round(
      (input.otherSteps + step * ownSamples) / input.samples,
    );
    if (canAdopt && isNear(meanStep)) return meanStep;
    if (input.samples < MIN_SAMPLES || isNear(step)) return step;
    return Math.round(position);
  }

  return {
    update(input) {
      const next = chooseStep(input);
      if (next === step) return false;
      // Also turns a rounded -0 into 0.
      step = next || 0;
      changedMs = nowMs();
      return true;
    },
    getStep: () => step,
    getWeight: () => 2 ** (step / STEPS_PER_DOUBLING),
  };
}

/** Returns the speed in steps, not rounded, from -2 to 2. */
function getPosition(speed: number): number {
  const position = Math.log2(speed) * STEPS_PER_DOUBLING;
  return Math.max(-MAX_STEP, Math.min(MAX_STEP, position));
}
