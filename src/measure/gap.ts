/**
 * The fairness gap: how much the difference of two teams' service, divided by
 * their weights, changes over any period in which both are backlogged.
 *
 * @module
 */

import type { Team } from "../types.ts";

/** Computes the largest gap over the period between any two samples. */
export interface GapMeter {
  /** Records the service so far by team, in cost units. */
  sample(service: ReadonlyMap<string, number>): void;
  /**
   * Returns the largest gap of any two teams, in cost units for a weight of
   * one.
   */
  getGap(): number;
}

/** Creates a meter for teams that are backlogged from the first sample on. */
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

/** Figures that the bound is derived from; costs in cost units. */
export interface GapBoundInput {
  readonly weights: readonly number[];
  /** Largest cost of one request. */
  readonly largestCost: number;
  readonly slots: number;
  /** Service of all slots together, in cost units per second. */
  readonly servicePerSecond: number;
  /** Longest time until a charge is known to every owner. */
  readonly lagSeconds: number;
  /**
   * Cross-region penalty, in largest requests: service by which a team of
   * another region must be behind before it gets the slot.
   */
  readonly crossRegionPenaltyRequests: number;
}

/**
 * Returns the bound of the gap for a weight of one, as docs/design/fairness.md
 * derives it: twice the sum of the cross-region penalty, the service that a
 * team receives elsewhere before its charge is known to every owner, the
 * largest request in every slot of two teams' shares, and one further largest
 * request.
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
