/**
 * Estimates the cost of a team's next request from the final costs of its
 * earlier ones. Callers' hints are not used: they are wrong by up to a factor
 * of ten in either direction, and a team could gain by giving low hints.
 *
 * Load: many slots are granted at once, while costs are known only at the end
 * of a request. Harm prevented: the team with the lowest counter takes all free
 * slots before the first of its requests has been charged.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";

/** Weight of the newest cost in a mean of at least 20 costs. */
const EWMA_WEIGHT = 0.05;

/** Cost estimates for one service at one host, by team. */
export interface CostEstimator {
  get(team: string): number;
  record(team: string, cost: number): void;
}

interface Mean {
  value: number;
  count: number;
}

/** Creates an estimator that starts with the service's expected cost. */
export function createCostEstimator(expectedCost: number): CostEstimator {
  const teamMeans = new Map<string, Mean>();
  const serviceMean: Mean = { value: expectedCost, count: 0 };

  function add(mean: Mean, cost: number): void {
    mean.count++;
    const weight = Math.max(EWMA_WEIGHT, 1 / mean.count);
    mean.value += weight * (cost - mean.value);
  }

  return {
    get: (team) => teamMeans.get(team)?.value ?? serviceMean.value,
    record(team, cost) {
      add(serviceMean, cost);
      add(getOrCreate(teamMeans, team, () => ({ value: 0, count: 0 })), cost);
    },
  };
}
