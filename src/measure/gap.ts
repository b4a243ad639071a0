/**
 * The fairness gap: how far the service of two teams, divided by weight, drifts
 * apart over any stretch in which both are backlogged.
 *
 * @module
 */

import type { Team } from "../types.ts";

/** Takes in samples and keeps the largest gap over any stretch between two. */
export interface GapMeter {
  /** Takes the service so far, in cost units by team. */
  sample(service: ReadonlyMap<string, number>): void;
  /** Largest gap of any pair, in cost units for a weight of one. */
  getGap(): number;
}

/** Makes a meter for teams that stay backlogged from the first sample on. */
export function createGapMeter(teams: readonly Team[]): GapMeter {
  const pairs = teams.flatMap((a, index) =>
    teams.slice(index + 1).map((b) => ({
      a,
      b,
      low: Infinity,
      high: -Infinity,
    }))
  );
  return {
    sample(service) {
      const shares = new Map(
        teams.map((each) => [
          each.id,
          (service.get(each.id) ?? 0) / each.weight,
        ]),
      );
      for (const pair of pairs) {
        const lead = shares.get(pair.a.id)! - shares.get(pair.b.id)!;
        pair.low = Math.min(pair.low, lead);
        pair.high = Math.max(pair.high, lead);
      }
    },
    getGap: () =>
      pairs.reduce((most, pair) => Math.max(most, pair.high - pair.low), 0),
  };
}

/** What the bound is derived from; costs in cost units. */
export interface GapBoundInput {
  readonly weights: readonly number[];
  /** Largest cost of one request. */
  readonly largestCost: number;
  readonly slots: number;
  /** Service of all slots, in cost units a second. */
  readonly servicePerSecond: number;
  /** Longest time until a charge is known to every owner. */
  readonly lagSeconds: number;
  /** How far the other region must be behind, in largest requests. */
  readonly crossRegionPenaltyRequests: number;
}

/**
 * The bound of the gap that docs/design/fairness.md derives, for a weight of
 * one: twice the sum of the penalty, of what one team gets elsewhere during the
 * lag, and of the largest request in every slot that two teams have by share.
 */
export function getGapBound(input: GapBoundInput): number {
  const { weights, largestCost, slots, servicePerSecond } = input;
  const totalWeight = weights.reduce((sum, each) => sum + each, 0);
  const largest = largestCost / Math.min(...weights);
  const penalty = input.crossRegionPenaltyRequests * largest;
  const lag = input.lagSeconds * servicePerSecond / totalWeight;
  const inFlight = Math.max(...weights.map((weight) => {
    const slotShare = Math.ceil(slots * weight / totalWeight) + 1;
    return slotShare * largestCost / weight;
  }));
  return 2 * (penalty + lag + 2 * inFlight + largest);
}
