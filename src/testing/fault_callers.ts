/**
 * Callers of a failure run: they send work, come back when they were told to,
 * and send work that was cut again with the same key.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Caller, CallerRequest, CallerResult } from "./caller.ts";
import type { FaultWorld } from "./fault_environment.ts";

const MAX_SENDINGS = 6;
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 2_000;

/** Sends one piece of work until it is answered or given up. */
export async function sendWork(
  world: FaultWorld,
  caller: Caller,
  req: CallerRequest,
): Promise<void> {
  for (let count = 1; count <= MAX_SENDINGS; count++) {
    const end = await sendOnce(world, caller, req, `${req.tag}#${count}`);
    if (end.outcome === "answered") return;
    await sleep(
      Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, end.retryAfterMs)),
    );
  }
}

async function sendOnce(
  world: FaultWorld,
  caller: Caller,
  req: CallerRequest,
  sending: string,
): Promise<CallerResult> {
  world.observe({
    kind: "request-sent",
    sending,
    team: req.team,
    service: req.service,
    operation: req.operation,
    idempotent: isIdempotent(world, req),
    work: req.idempotencyKey === "" ? req.tag : req.idempotencyKey,
  });
  const end = await caller.send(req);
  world.observe({
    kind: "request-ended",
    sending,
    outcome: end.outcome === "lost" ? "cut" : end.outcome,
    request: end.request,
    fault: end.fault,
    host: getHost(world, end.address),
  });
  return end;
}

function isIdempotent(world: FaultWorld, req: CallerRequest): boolean {
  const service = world.fleet.deployment.services
    .find((each) => each.id === req.service)!;
  return service.operations
    .find((each) => each.name === req.operation)!.idempotent;
}

function getHost(world: FaultWorld, address: string): string {
  const place = world.fleet.routers.find((each) =>
    each.publicAddress === address
  );
  return place?.id ?? "";
}
