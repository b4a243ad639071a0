/**
 * Deployments and request generators for measurements.
 *
 * @module
 */

import type { DataCentre, Deployment, Team, Upstream } from "../types.ts";
import type { FixtureHost, FleetFixture } from "./fleet_fixture.ts";
import type { Random } from "./random.ts";

/** Sizes of a deployment with one engine service. */
export interface DeploymentSizes {
  readonly regions: number;
  readonly dataCentresPerRegion: number;
  readonly upstreams: number;
  readonly slotsPerUpstream: number;
  /** Weight of each team; the team with index 0 is "team-1". */
  readonly weights: readonly number[];
  readonly expectedCost: number;
}

/** Id of the only service in a deployment of `createDeployment`. */
export const SERVICE = "engine";

/** Creates a deployment with upstreams spread evenly over the data centres. */
export function createDeployment(sizes: DeploymentSizes): Deployment {
  const dataCentres = Array.from(
    { length: sizes.regions * sizes.dataCentresPerRegion },
    (_, index): DataCentre => ({
      id: `dc-${index + 1}`,
      region: `region-${index % sizes.regions + 1}`,
    }),
  );
  return {
    name: "measured",
    dataCentres,
    teams: sizes.weights.map((weight, index): Team => ({
      id: `team-${index + 1}`,
      weight,
      keyDigest: "",
      maxQueued: 200,
    })),
    services: [{
      id: SERVICE,
      kind: "engine",
      operations: [{ name: "generate", idempotent: true }],
      maxDeadlineMs: 600_000,
      maxBodyBytes: 1 << 20,
      expectedCost: sizes.expectedCost,
    }],
    upstreams: Array.from(
      { length: sizes.upstreams },
      (_, index): Upstream => ({
        id: `engine-${index + 1}`,
        service: SERVICE,
        dataCentre: dataCentres[index % dataCentres.length]!.id,
        address: "",
        maxSlots: sizes.slotsPerUpstream,
        fencing: "checks",
      }),
    ),
  };
}

/** Picks a cost: 80% are short, 20% are long, about ten times as much. */
export function pickMixedCost(random: Random): number {
  const isLong = random() < 0.2;
  const [low, high] = isLong ? [150, 400] : [10, 60];
  return Math.floor(low + random() * (high - low));
}

/** A team's requests that a generator sends. */
export interface TrafficSource {
  readonly team: string;
  pickHost(): FixtureHost;
  pickCost(): number;
  /**
   * Cost hint of a request with the cost; without it, the service's expected
   * cost.
   */
  getHint?(cost: number): number;
  /** Time after which callers disconnect; without it, the service's maximum. */
  readonly timeoutMs?: number;
}

/**
 * Keeps the team backlogged until `untilMs` of virtual time: `depth` requests
 * wait or run at any time, and each is replaced when it ends.
 */
export function keepBacklogged(
  fixture: FleetFixture,
  sender: TrafficSource,
  { depth, untilMs }: { depth: number; untilMs: number },
): void {
  const sendOne = () => {
    if (fixture.scheduler.clock.monotonicMs() >= untilMs) return;
    const host = sender.pickHost();
    if (!host.isUp()) {
      fixture.scheduler.after(10, sendOne);
      return;
    }
    const cost = sender.pickCost();
    host.submit({
      team: sender.team,
      service: SERVICE,
      cost,
      costHint: sender.getHint?.(cost),
      onEnd: () => fixture.scheduler.after(0, sendOne),
    });
  };
  for (let sent = 0; sent < depth; sent++) sendOne();
}

/** Sends requests as a Poisson process until `untilMs` of virtual time. */
export function sendAtRate(
  fixture: FleetFixture,
  sender: TrafficSource,
  options: { perSecond: number; untilMs: number; random: Random },
): void {
  const { perSecond, untilMs, random } = options;
  const sendNext = () => {
    const gapMs = -Math.log(1 - random()) * 1000 / perSecond;
    fixture.scheduler.after(gapMs, () => {
      if (fixture.scheduler.clock.monotonicMs() >= untilMs) return;
      const host = sender.pickHost();
      if (host.isUp()) {
        const cost = sender.pickCost();
        const costHint = sender.getHint?.(cost);
        const { team, timeoutMs } = sender;
        host.submit({ team, service: SERVICE, cost, costHint, timeoutMs });
      }
      sendNext();
    });
  };
  sendNext();
}
