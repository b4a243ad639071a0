/**
 * Mixed traffic of a deployment's teams: long survey streams, short chats,
 * bookings that run at most once, and reads. Teams send in proportion to their
 * weights, so a few large teams send most of it.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Deployment, Team } from "../types.ts";
import type { CallerRequest } from "./caller.ts";

/** Creates a generator of numbers in [0, 1) that is determined by the seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

/** Creates a source of requests that is determined by the random numbers. */
export function createRequestSource(
  deployment: Deployment,
  random: () => number,
): () => CallerRequest {
  const engine = deployment.services.find((each) => each.kind === "engine")!;
  const desk = deployment.services.find((each) => each.kind === "plain")!;
  const booking = desk.operations.find((each) => !each.idempotent)!.name;
  const read = desk.operations.find((each) => each.idempotent)!.name;
  const totalWeight = deployment.teams.reduce(
    (sum, team) => sum + team.weight,
    0,
  );
  let created = 0;

  function pickTeam(): Team {
    let remainingWeight = random() * totalWeight;
    for (const team of deployment.teams) {
      remainingWeight -= team.weight;
      if (remainingWeight <= 0) return team;
    }
    return deployment.teams[0]!;
  }

  function pickLength(low: number, high: number): number {
    return Math.floor(low + random() * (high - low));
  }

  return () => {
    created++;
    const tag = `t${created}`;
    const common = { team: pickTeam().id, tag, timeoutMs: 30_000 };
    const kind = random();
    if (kind < 0.25) {
      return {
        ...common,
        service: engine.id,
        operation: "generate",
        tokens: pickLength(80, 200),
        idempotencyKey: "",
      };
    }
    if (kind < 0.65) {
      return {
        ...common,
        service: engine.id,
        operation: "generate",
        tokens: pickLength(5, 30),
        idempotencyKey: "",
      };
    }
    return {
      ...common,
      service: desk.id,
      operation: kind < 0.8 ? booking : read,
      tokens: 0,
      idempotencyKey: `key-${tag}`,
    };
  };
}

/** Calls `send` at the given rate for the duration; waits for all calls. */
export async function sendAtRate(
  send: () => Promise<void>,
  options: { perSecond: number; seconds: number; isStopped: () => boolean },
): Promise<void> {
  const startMs = performance.now();
  const sent: Promise<void>[] = [];
  const total = Math.floor(options.perSecond * options.seconds);
  for (let count = 0; count < total && !options.isStopped(); count++) {
    const dueMs = startMs + (count * 1000) / options.perSecond;
    const delayMs = dueMs - performance.now();
    if (delayMs > 0) await sleep(delayMs);
    sent.push(send());
  }
  await Promise.all(sent);
}
