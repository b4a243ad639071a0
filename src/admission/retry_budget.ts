/**
 * Limits retries to a share of a team's successes for a service, and a small
 * reserve of the host.
 *
 * Load: an upstream or a whole service fails, and every request is retried, at
 * every host at once. Harm prevented: retries multiply the load on what is left
 * until nothing succeeds. No host asks another: each keeps to its share of its
 * own successes, so the fleet does too. Over any time of length t, with N
 * successes in it and in the 10 s before it, a host makes at most
 * `0.1 N + 5 + t / 10 s` retries, whatever the number of teams; and a team's
 * successes pay for no other team's retries.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";

/** Retries earned by one success: one retry for ten successes. */
const CREDIT_PER_SUCCESS = 0.1;

/**
 * What was earned fades over so long: a day of successes must not pay for a
 * flood of retries in the minute of the outage.
 */
const CREDIT_DECAY_MS = 10_000;

/**
 * Retries of the host that no success has paid for, so that a team which sends
 * a request an hour can be retried at all. One reserve for the host and not for
 * each team and service: 290 teams and 11 services would make 3,190 of them.
 */
const RESERVE = 5;

/** The reserve grows by one in so long; over 390 hosts 39 retries a second. */
const RESERVE_REFILL_MS = 10_000;

/** The budgets of one host, by team and service. */
export interface RetryBudget {
  recordSuccess(team: string, service: string): void;
  /** Takes one retry from the budget; false when there is none. */
  tryTake(team: string, service: string): boolean;
}

interface Budget {
  credit: number;
  updatedMs: number;
}

/** Sizes of the budgets. */
export interface RetryBudgetOptions {
  /** Retries earned by one success. */
  readonly creditPerSuccess: number;
  /** Retries of this host that no success has paid for. */
  getReserve(): number;
  /** The reserve is full again after so long, in ms. */
  readonly reserveRefillMs: number;
}

const defaultOptions: RetryBudgetOptions = {
  creditPerSuccess: CREDIT_PER_SUCCESS,
  getReserve: () => RESERVE,
  reserveRefillMs: RESERVE * RESERVE_REFILL_MS,
};

/** Limit on retries over all hosts, of one service. */
export interface FleetRetryLimit {
  /** Retries for each request of the window. */
  readonly share: number;
  readonly windowMs: number;
  /** Besides the share, over all hosts. */
  readonly reserve: number;
}

/**
 * Part of the fleet's limit that is used: hosts count apart, what they earned
 * fades only in the window after it, and a host that starts anew has a full
 * reserve again.
 */
const FLEET_LIMIT_SHARE = 0.45;

/** The options of one of so many hosts that together keep to the limit. */
export function getFleetRetryOptions(
  limit: FleetRetryLimit,
  countHosts: () => number,
): RetryBudgetOptions {
  return {
    creditPerSuccess: limit.share * FLEET_LIMIT_SHARE,
    getReserve: () => limit.reserve * FLEET_LIMIT_SHARE / countHosts(),
    reserveRefillMs: limit.windowMs,
  };
}

/** Makes budgets with nothing earned and a full reserve. */
export function createRetryBudget(
  clock: Clock,
  options: RetryBudgetOptions = defaultOptions,
): RetryBudget {
  const budgets = new Map<string, Budget>();
  let reserve = options.getReserve();
  let reserveAtMs = clock.monotonicMs();

  /** The budget as it stands now, with what has faded taken off. */
  function getBudget(team: string, service: string): Budget {
    const nowMs = clock.monotonicMs();
    const key = `${team}/${service}`;
    const budget = getOrCreate(
      budgets,
      key,
      () => ({ credit: 0, updatedMs: nowMs }),
    );
    budget.credit *= Math.exp(-(nowMs - budget.updatedMs) / CREDIT_DECAY_MS);
    budget.updatedMs = nowMs;
    return budget;
  }

  function tryTakeReserve(): boolean {
    const nowMs = clock.monotonicMs();
    const capacity = options.getReserve();
    const refilled = (nowMs - reserveAtMs) * capacity / options.reserveRefillMs;
    reserve = Math.min(capacity, reserve + refilled);
    reserveAtMs = nowMs;
    if (reserve < 1) return false;
    reserve--;
    return true;
  }

  return {
    recordSuccess(team, service) {
      getBudget(team, service).credit += options.creditPerSuccess;
    },
    tryTake(team, service) {
      const budget = getBudget(team, service);
      if (budget.credit < 1) return tryTakeReserve();
      budget.credit--;
      return true;
    },
  };
}
