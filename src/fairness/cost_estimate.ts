/**
 * What the next request of a team will probably cost, learned from the costs
 * that its requests turned out to have. Callers' hints do not enter: they are
 * wrong by ten either way, and a team could gain by hinting low.
 *
 * Load: many slots granted at once, with costs known only at the end. Harm
 * prevented: the team with the lowest counter takes every free slot before the
 * first of its requests has been charged.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";

/** Weight of the newest cost, once as many costs are known. */
const EWMA_WEIGHT = 0.05;

/** The estimates of one service at one host. */
export interface CostEstimator {
  get(team: string): number;
  observe(team: string, cost: number): void;
}

interface Mean {
  value: number;
  count: number;
}

/** Makes estimates that start at the service's expected cost. */
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
    observe(team, cost) {
      add(serviceMean, cost);
      add(getOrCreate(teamMeans, team, () => ({ value: 0, count: 0 })), cost);
    },
  };
}
