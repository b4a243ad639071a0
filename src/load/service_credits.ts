/**
 * Credits that put a team which begins to ask for more on a level with those that
 * are being served, as virtual time does in fair queueing.
 *
 * Load: a team has been served alone, and a second one begins to flood. Harm
 * prevented: the decaying rate of the first is high and that of the second zero,
 * so that the first yields all upstreams until the second has caught up with
 * seconds in which it asked for nothing. Time without demand earns nothing.
 *
 * @module
 */

/**
 * A team lacks service when what it asks for exceeds what is begun for it by this
 * factor. A smaller difference is due to prompts that wait only briefly.
 */
const SHORTAGE_FACTOR = 1.15;

/** Recent service by team over all hosts, in tokens per second. */
export interface FleetService {
  readonly asked: ReadonlyMap<number, number>;
  readonly begun: ReadonlyMap<number, number>;
}

/** The credits of all teams, in tokens per second. */
export interface ServiceCredits {
  /** Applies the service of the fleet at this time, in monotonic ms. */
  update(nowMs: number, service: FleetService): void;
  /** The credit of the team; 0 if it has none. */
  get(team: number): number;
}

/** Creates credits, which decay with the half-life of the rates. */
export function createServiceCredits(halfLifeMs: number): ServiceCredits {
  let credits = new Map<number, number>();
  let updatedMs = 0;

  return {
    update(nowMs, { asked, begun }) {
      const decay = 0.5 ** ((nowMs - updatedMs) / halfLifeMs);
      updatedMs = nowMs;
      const servedLevel = getServedLevel(
        begun,
        (team) => (credits.get(team) ?? 0) * decay,
      );
      const next = new Map<number, number>();
      for (const [team, askedTokens] of asked) {
        const begunTokens = begun.get(team) ?? 0;
        const known = credits.get(team);
        const kept = (known ?? 0) * decay;
        const isLacking = known !== undefined &&
          askedTokens > begunTokens * SHORTAGE_FACTOR;
        const credit = isLacking
          ? kept
          : Math.max(kept, servedLevel - begunTokens);
        next.set(team, credit);
      }
      credits = next;
    },
    get: (team) => credits.get(team) ?? 0,
  };
}

/** Returns the mean level at which service is given, weighted by the service. */
function getServedLevel(
  begun: ReadonlyMap<number, number>,
  getCredit: (team: number) => number,
): number {
  let sum = 0;
  let total = 0;
  for (const [team, tokens] of begun) {
    sum += tokens * (tokens + getCredit(team));
    total += tokens;
  }
  return total === 0 ? 0 : sum / total;
}
