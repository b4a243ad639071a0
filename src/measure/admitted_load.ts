/**
 * Callers of the fleet fixture. Each host has the real admission, backlog and
 * retry budget, connected as in the router.
 *
 * @module
 */

import {
  type Backlog,
  createBacklog,
  createRetryBudget,
  type RetryBudget,
} from "../admission/mod.ts";
import type {
  FixtureHost,
  FixtureRequest,
  FleetFixture,
} from "./fleet_fixture.ts";
import { pickEntryHosts } from "./contended.ts";
import type { Random } from "./random.ts";
import { pickMixedCost, SERVICE } from "./workload.ts";

/** Outcome of a call for its caller. */
export interface CallOutcome {
  readonly arrivedMs: number;
  readonly endedMs: number;
  readonly deadlineMs: number;
  readonly cost: number;
  readonly team: string;
  readonly result: "answered" | "refused" | "given-up" | "timed-out" | "failed";
}

/** A call of a team through a host. */
export interface Call {
  readonly team: string;
  readonly host: FixtureHost;
  readonly cost: number;
  readonly timeoutMs: number;
}

/** Sends calls through the hosts' admission and records their outcomes. */
export interface AdmittedLoad {
  send(call: Call): void;
  getOutcomes(): readonly CallOutcome[];
  /**
   * Largest number of requests, and of their bytes, that waited at one host.
   */
  getPeakWaiting(): { readonly requests: number; readonly bytes: number };
}

/** Options of the callers. */
export interface AdmittedLoadOptions {
  readonly random: Random;
  readonly bodyBytes: number;
  /** If false, every call is admitted and waits until its deadline. */
  readonly refusesCalls: boolean;
}

const SWEEP_MS = 200;
const MAX_ATTEMPTS = 3;

/** Creates the admission of each host of the fixture. */
export function createAdmittedLoad(
  fixture: FleetFixture,
  { random, bodyBytes, refusesCalls }: AdmittedLoadOptions,
): AdmittedLoad {
  const { scheduler } = fixture;
  const { clock } = scheduler;
  const outcomes: CallOutcome[] = [];
  const peak = { requests: 0, bytes: 0 };
  const backlogs = new Map<string, Backlog>();
  const budgets = new Map<string, RetryBudget>();
  for (const { id } of fixture.hosts) {
    const backlog = createBacklog({ clock, random });
    backlogs.set(id, backlog);
    budgets.set(id, createRetryBudget(clock));
    if (refusesCalls) scheduler.every(SWEEP_MS, backlog.sweep);
  }

  function end(call: Call, deadlineMs: number, result: CallOutcome["result"]) {
    outcomes.push({
      arrivedMs: deadlineMs - call.timeoutMs,
      endedMs: clock.monotonicMs(),
      deadlineMs,
      cost: call.cost,
      team: call.team,
      result,
    });
  }

  function recordPeak(backlog: Backlog): void {
    const use = backlog.getUse();
    peak.requests = Math.max(peak.requests, use.requests);
    peak.bytes = Math.max(peak.bytes, use.bytes);
  }

  function startAttempt(call: Call, deadlineMs: number, attempt: number): void {
    const backlog = backlogs.get(call.host.id)!;
    const timeoutMs = deadlineMs - clock.monotonicMs();
    const req = call.host.submit({
      team: call.team,
      service: SERVICE,
      cost: call.cost,
      timeoutMs,
      onStart: (started) => backlog.dequeue(started, "started"),
      onEnd: (ended) => endAttempt(call, ended, { deadlineMs, attempt }),
    });
    if (req.state !== "waiting") return;
    backlog.enqueue(req, bodyBytes, () => {
      call.host.fleet.slots.cancel(req);
      req.state = "cancelled";
      end(call, deadlineMs, "given-up");
    });
    recordPeak(backlog);
  }

  function endAttempt(
    call: Call,
    req: FixtureRequest,
    { deadlineMs, attempt }: { deadlineMs: number; attempt: number },
  ): void {
    const budget = budgets.get(call.host.id)!;
    const backlog = backlogs.get(call.host.id)!;
    if (req.state === "answered") {
      const runMs = req.endedMs! - req.startedMs!;
      const firstByteMs = Math.min(runMs, 100);
      budget.recordSuccess(call.team, SERVICE);
      backlog.recordRun(SERVICE, { firstByteMs, runMs });
      end(call, deadlineMs, "answered");
    } else if (req.state === "cancelled") {
      backlog.dequeue(req, "gave-up");
      end(call, deadlineMs, "timed-out");
    } else if (
      attempt < MAX_ATTEMPTS && clock.monotonicMs() < deadlineMs &&
      budget.tryTake(call.team, SERVICE)
    ) {
      startAttempt(call, deadlineMs, attempt + 1);
    } else {
      end(call, deadlineMs, "failed");
    }
  }

  return {
    send(call) {
      const nowMs = clock.monotonicMs();
      const deadlineMs = nowMs + call.timeoutMs;
      const team = fixture.deployment.teams.find((each) =>
        each.id === call.team
      )!;
      const decision = backlogs.get(call.host.id)!.decide({
        req: {
          id: "",
          team: call.team,
          service: SERVICE,
          operation: "",
          arrivedMs: nowMs,
          deadlineMs,
          expectedCost: 0,
          fingerprint: "",
        },
        bodyBytes,
        maxQueued: team.maxQueued,
        isDraining: false,
      });
      if (refusesCalls && decision.kind === "refused") {
        end(call, deadlineMs, "refused");
      } else {
        startAttempt(call, deadlineMs, 1);
      }
    },
    getOutcomes: () => outcomes,
    getPeakWaiting: () => peak,
  };
}

/**
 * Returns the tokens per second of the answers that ended in the window and
 * before their deadlines.
 */
export function getGoodput(
  load: AdmittedLoad,
  window: { readonly fromMs: number; readonly toMs: number },
): number {
  const tokens = load.getOutcomes()
    .filter((end) => end.result === "answered" && end.endedMs <= end.deadlineMs)
    .filter((end) => end.endedMs >= window.fromMs && end.endedMs < window.toMs)
    .reduce((sum, end) => sum + end.cost, 0);
  return tokens * 1000 / (window.toMs - window.fromMs);
}

/**
 * Sends calls of every team as a Poisson process, at the team's share of the
 * total rate by weight and through the few hosts that its callers use.
 */
export function sendByWeight(
  load: AdmittedLoad,
  fixture: FleetFixture,
  options: { perSecond: number; timeoutMs: number; random: Random },
): void {
  const { random, timeoutMs } = options;
  const { scheduler, hosts } = fixture;
  const { teams } = fixture.deployment;
  const totalWeight = teams.reduce((sum, team) => sum + team.weight, 0);
  for (const team of teams) {
    const entryHosts = pickEntryHosts(hosts.length, random);
    const perSecond = options.perSecond * team.weight / totalWeight;
    const sendNext = () => {
      const gapMs = -Math.log(1 - random()) * 1000 / perSecond;
      scheduler.after(gapMs, () => {
        const at = entryHosts[Math.floor(random() * entryHosts.length)]!;
        load.send({
          team: team.id,
          host: hosts[at]!,
          cost: pickMixedCost(random),
          timeoutMs,
        });
        sendNext();
      });
    };
    sendNext();
  }
}
