/**
 * The waiting requests of this host, over all teams and services: their number
 * and bytes, the rate at which each team's requests start, and which requests
 * can no longer meet their deadlines.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import type { AdmittedRequest } from "../types.ts";
import {
  type Admission,
  decideAdmission,
  getRetryAfterMs,
  isDeadlineUnreachable,
  type QueueUse,
} from "./admission.ts";
import { createRunTimes, type RunTime, type RunTimes } from "./run_times.ts";
import { createWaitEstimator, type WaitEstimator } from "./wait_estimate.ts";

/** Dependencies of the backlog, supplied by the process. */
export interface BacklogHost {
  readonly clock: Clock;
  /** A random number from 0 up to, but not including, 1. */
  random(): number;
}

/** A request that is to be admitted or refused. */
export interface AdmissionRequest {
  readonly req: AdmittedRequest;
  readonly bodyBytes: number;
  /** Limit on the team's waiting requests for one service at one host. */
  readonly maxQueued: number;
  readonly isDraining: boolean;
}

/** How a request left the queue: with a slot, or given up. */
export type QueueExit = "started" | "gave-up";

/** The waiting requests of one host. */
export interface Backlog {
  /** Decides whether a request is admitted, without side effects. */
  decide(request: AdmissionRequest): Admission;
  /**
   * Adds a request; `giveUp` is called when its deadline can no longer be met,
   * with the time after which to retry.
   */
  enqueue(
    req: AdmittedRequest,
    bodyBytes: number,
    giveUp: (retryAfterMs: number) => void,
  ): void;
  /** Removes a request; further calls for it have no effect. */
  dequeue(req: AdmittedRequest, exit: QueueExit): void;
  /** Records the times of a run of the service that was answered. */
  recordRun(service: string, run: RunTime): void;
  /** Gives up all requests whose deadlines can no longer be met. */
  sweep(): void;
  getUse(): QueueUse;
  getTeamQueued(team: string, service: string): number;
  /** Expected wait of the team's newest request for its slot, in ms. */
  getExpectedWaitMs(team: string, service: string): number;
  /**
   * Time after which a refused request of the team should be retried, in ms.
   */
  getRetryAfterMs(team: string, service: string): number;
}

interface WaitingRequest {
  readonly req: AdmittedRequest;
  readonly bytes: number;
  readonly sinceMs: number;
  readonly giveUp: (retryAfterMs: number) => void;
}

/** The waiting requests of one team for one service, the oldest first. */
interface RequestQueue {
  readonly team: string;
  readonly service: string;
  readonly waiting: Map<AdmittedRequest, WaitingRequest>;
  readonly waitEstimator: WaitEstimator;
}

interface MutableUse {
  requests: number;
  bytes: number;
}

const NO_USE: QueueUse = { requests: 0, bytes: 0 };

/** Creates an empty backlog. */
export function createBacklog(host: BacklogHost): Backlog {
  const queues = new Map<string, RequestQueue>();
  const teamUses = new Map<string, MutableUse>();
  const hostUse: MutableUse = { requests: 0, bytes: 0 };
  const runTimes = new Map<string, RunTimes>();

  function getRunTimes(service: string): RunTimes {
    return getOrCreate(runTimes, service, createRunTimes);
  }

  function tryGetQueue(
    team: string,
    service: string,
  ): RequestQueue | undefined {
    return queues.get(`${service}/${team}`);
  }

  function getQueue(team: string, service: string): RequestQueue {
    return getOrCreate(queues, `${service}/${team}`, () => ({
      team,
      service,
      waiting: new Map(),
      waitEstimator: createWaitEstimator(),
    }));
  }

  function addUse(team: string, requests: number, bytes: number): void {
    const use = getOrCreate(teamUses, team, () => ({ requests: 0, bytes: 0 }));
    use.requests += requests;
    use.bytes += bytes;
    hostUse.requests += requests;
    hostUse.bytes += bytes;
    if (use.requests === 0) teamUses.delete(team);
  }

  /** Expected wait for a slot behind the given number of requests, in ms. */
  function getWaitMs(queue: RequestQueue | undefined, ahead: number): number {
    return queue?.waitEstimator.getWaitMs(ahead, host.clock.monotonicMs()) ?? 0;
  }

  function sweepQueue(queue: RequestQueue): void {
    const nowMs = host.clock.monotonicMs();
    const minFirstByteMs = getRunTimes(queue.service).getMinFirstByteMs();
    let ahead = 0;
    for (const { req, giveUp } of [...queue.waiting.values()]) {
      const expectedWaitMs = queue.waitEstimator.getWaitMs(ahead, nowMs);
      const remainingMs = req.deadlineMs - nowMs;
      if (
        isDeadlineUnreachable({ expectedWaitMs, minFirstByteMs, remainingMs })
      ) {
        dequeue(req, "gave-up");
        giveUp(getRetryAfterMs(expectedWaitMs, host.random()));
      } else {
        ahead++;
      }
    }
  }

  function dequeue(req: AdmittedRequest, exit: QueueExit): void {
    const queue = tryGetQueue(req.team, req.service);
    const waiting = queue?.waiting.get(req);
    if (queue === undefined || waiting === undefined) return;
    queue.waiting.delete(req);
    const nowMs = host.clock.monotonicMs();
    queue.waitEstimator.recordDequeued(exit, nowMs - waiting.sinceMs, nowMs);
    addUse(req.team, -1, -waiting.bytes);
  }

  function getTeamQueued(team: string, service: string): number {
    return tryGetQueue(team, service)?.waiting.size ?? 0;
  }

  return {
    decide({ req, bodyBytes, maxQueued, isDraining }) {
      const queue = tryGetQueue(req.team, req.service);
      const teamQueued = queue?.waiting.size ?? 0;
      return decideAdmission({
        isDraining,
        teamQueued,
        maxQueued,
        teamUse: teamUses.get(req.team) ?? NO_USE,
        hostUse,
        bodyBytes,
        expectedWaitMs: getWaitMs(queue, teamQueued),
        minFirstByteMs: getRunTimes(req.service).getMinFirstByteMs(),
        p90RunMs: getRunTimes(req.service).getP90RunMs(),
        remainingMs: req.deadlineMs - host.clock.monotonicMs(),
        random: host.random(),
      });
    },
    enqueue(req, bytes, giveUp) {
      const queue = getQueue(req.team, req.service);
      const sinceMs = host.clock.monotonicMs();
      queue.waiting.set(req, { req, bytes, sinceMs, giveUp });
      queue.waitEstimator.recordEnqueued(sinceMs);
      addUse(req.team, 1, bytes);
    },
    dequeue,
    recordRun: (service, run) => getRunTimes(service).record(run),
    sweep() {
      for (const queue of queues.values()) {
        if (queue.waiting.size > 0) sweepQueue(queue);
      }
    },
    getUse: () => ({ ...hostUse }),
    getTeamQueued,
    getExpectedWaitMs(team, service) {
      const queue = tryGetQueue(team, service);
      return getWaitMs(queue, Math.max(0, (queue?.waiting.size ?? 0) - 1));
    },
    getRetryAfterMs(team, service) {
      const queue = tryGetQueue(team, service);
      const waitMs = getWaitMs(queue, queue?.waiting.size ?? 0);
      return getRetryAfterMs(waitMs, host.random());
    },
  };
}
