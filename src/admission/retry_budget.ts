/**
 * Limits retries to a share of a team's successes for a service, plus a small
 * reserve of each host.
 *
 * Load: an upstream or a whole service fails, and every request is retried, at
 * all hosts at once. Harm prevented: retries multiply the load on the remaining
 * upstreams until no request succeeds. Hosts need no coordination for this:
 * each limits its retries to a share of its own successes, and so the fleet
 * keeps the same share. In any period t, with N successes in it and in the 10 s
 * before it, a host makes at most `0.1 N + 5 + t / 10 s` retries, whatever the
 * number of teams; and the successes of one team pay for no retries of another.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";

/** Retries earned by one success: ten successes earn one retry. */
const CREDIT_PER_SUCCESS = 0.1;

/**
 * Time constant of the exponential decay of earned retries. A day of successes
 * must not pay for a burst of retries in the minute of an outage.
 */
const CREDIT_DECAY_MS = 10_000;

/**
 * Retries of a host that need no earlier success, so that a team that sends one
 * request per hour gets retries at all. There is one reserve for the host
 * rather than one for each team and service: with 290 teams and 11 services
 * these would be 3,190 reserves.
 */
const RESERVE = 5;

/**
 * Time in which the reserve is refilled by one retry. Over 390 hosts that
 * allows 39 retries per second.
 */
const RESERVE_REFILL_MS = 10_000;

/** The retry budgets of one host, by team and service. */
export interface RetryBudget {
  recordSuccess(team: string, service: string): void;
  /** Whether a retry is left. */
  hasRetry(team: string, service: string): boolean;
  /** Takes one retry from the budget or the reserve; false if none is left. */
  tryTake(team: string, service: string): boolean;
}

interface Budget {
  credit: number;
  updatedMs: number;
}

/** Limits of the budgets. */
export interface RetryBudgetOptions {
  /** Retries earned by one success. */
  readonly creditPerSuccess: number;
  /** Size of this host's reserve, in retries. */
  getReserve(): number;
  /** Time in which an empty reserve is refilled, in ms. */
  readonly reserveRefillMs: number;
  /** Retries in the reserve at the start. */
  readonly initialReserve: number;
}

const defaultOptions: RetryBudgetOptions = {
  creditPerSuccess: CREDIT_PER_SUCCESS,
  getReserve: () => RESERVE,
  reserveRefillMs: RESERVE * RESERVE_REFILL_MS,
  initialReserve: RESERVE,
};

/** Limit on the retries of one service over all hosts. */
export interface FleetRetryLimit {
  /** Retries per request in any period of `windowMs`. */
  readonly share: number;
  readonly windowMs: number;
  /** Retries in addition to the share, over all hosts. */
  readonly reserve: number;
}

/**
 * Share of the fleet's limit that the hosts use. The rest is a margin: hosts
 * count separately, and earned retries decay only in the window after the
 * successes.
 */
const FLEET_LIMIT_SHARE = 0.45;

/**
 * Retries that a host may send right after its start. It knows no other host
 * yet, and others may start with it, so that this is not its part of the
 * reserve.
 */
const INITIAL_FLEET_RESERVE = 1;

/** Returns the options with which all hosts together keep the limit. */
export function getFleetRetryOptions(
  limit: FleetRetryLimit,
  countHosts: () => number,
): RetryBudgetOptions {
  return {
    creditPerSuccess: limit.share * FLEET_LIMIT_SHARE,
    getReserve: () => limit.reserve * FLEET_LIMIT_SHARE / countHosts(),
    reserveRefillMs: limit.windowMs,
    initialReserve: INITIAL_FLEET_RESERVE,
  };
}

/** Creates budgets without earned retries. */
export function createRetryBudget(
  clock: Clock,
  options: RetryBudgetOptions = defaultOptions,
): RetryBudget {
  const budgets = new Map<string, Budget>();
  let reserve = Math.min(options.initialReserve, options.getReserve());
  let reserveAtMs = clock.monotonicMs();

  /** Returns the budget after applying the decay up to now. */
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

  /** Returns the reserve after refilling it up to now. */
  function getReserve(): number {
    const nowMs = clock.monotonicMs();
    const capacity = options.getReserve();
    const refilled = (nowMs - reserveAtMs) * capacity / options.reserveRefillMs;
    reserve = Math.min(capacity, reserve + refilled);
    reserveAtMs = nowMs;
    return reserve;
  }

  function tryTakeReserve(): boolean {
    if (getReserve() < 1) return false;
    reserve--;
    return true;
  }

  return {
    recordSuccess(team, service) {
      getBudget(team, service).credit += options.creditPerSuccess;
    },
    hasRetry: (team, service) =>
      getBudget(team, service).credit >= 1 || getReserve() >= 1,
    tryTake(team, service) {
      const budget = getBudget(team, service);
      if (budget.credit < 1) return tryTakeReserve();
      budget.credit--;
      return true;
    },
  };
}
