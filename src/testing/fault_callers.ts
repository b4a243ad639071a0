/**
 * Callers of a failure run. They send work, wait for the delay of
 * `Retry-After`, and retry unanswered work under the same idempotency key.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Caller, CallerRequest, CallerResult } from "./caller.ts";
import type { FaultEnvironment } from "./fault_environment.ts";

const MAX_ATTEMPTS = 6;
const MIN_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2_000;

/** Sends work until it is answered, at most `MAX_ATTEMPTS` times. */
export async function sendUntilAnswered(
  env: FaultEnvironment,
  caller: Caller,
  req: CallerRequest,
): Promise<void> {
  for (let count = 1; count <= MAX_ATTEMPTS; count++) {
    const end = await sendOnce(env, caller, req, `${req.tag}#${count}`);
    if (end.outcome === "answered") return;
    await sleep(
      Math.min(
        MAX_RETRY_DELAY_MS,
        Math.max(MIN_RETRY_DELAY_MS, end.retryAfterMs),
      ),
    );
  }
}

async function sendOnce(
  env: FaultEnvironment,
  caller: Caller,
  req: CallerRequest,
  sending: string,
): Promise<CallerResult> {
  env.observe({
    kind: "request-sent",
    sending,
    team: req.team,
    service: req.service,
    operation: req.operation,
    idempotent: isIdempotent(env, req),
    work: req.idempotencyKey === "" ? req.tag : req.idempotencyKey,
  });
  const end = await caller.send(req);
  env.observe({
    kind: "request-ended",
    sending,
    outcome: end.outcome === "lost" ? "cut" : end.outcome,
    request: end.request,
    fault: end.fault,
    host: getHost(env, end.address),
  });
  return end;
}

function isIdempotent(env: FaultEnvironment, req: CallerRequest): boolean {
  const service = env.fleet.deployment.services
    .find((each) => each.id === req.service)!;
  return service.operations
    .find((each) => each.name === req.operation)!.idempotent;
}

function getHost(env: FaultEnvironment, address: string): string {
  const router = env.fleet.routers.find((each) =>
    each.publicAddress === address
  );
  return router?.id ?? "";
}
