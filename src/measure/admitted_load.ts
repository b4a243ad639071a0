/**
 * Callers in front of the fleet's fixture with the real admission, backlog and
 * retry budget of each host, as the router joins them.
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
import { pickHomes } from "./contended.ts";
import type { Random } from "./random.ts";
import { pickMixedCost, SERVICE } from "./workload.ts";

/** How a call ended for its caller. */
export interface CallEnd {
  readonly arrivedMs: number;
  readonly endedMs: number;
  readonly deadlineMs: number;
  readonly cost: number;
  readonly team: string;
  readonly result: "answered" | "refused" | "given-up" | "timed-out" | "failed";
}

/** A call of a team at a host. */
export interface Call {
  readonly team: string;
  readonly host: FixtureHost;
  readonly cost: number;
  readonly timeoutMs: number;
}

/** Callers and hosts. */
export interface AdmittedLoad {
  send(call: Call): void;
  getEnds(): readonly CallEnd[];
  /** Most requests, and bytes of them, that waited at one host at once. */
  getMostWaiting(): { readonly requests: number; readonly bytes: number };
}

/** What a load is made from. */
export interface AdmittedLoadOptions {
  readonly random: Random;
  readonly bodyBytes: number;
  /** False: all are let in and wait until their deadlines. */
  readonly refuses: boolean;
}

const SWEEP_MS = 200;
const MAX_RUNS = 3;

/** Makes the admission of each host of the fixture. */
export function createAdmittedLoad(
  fixture: FleetFixture,
  { random, bodyBytes, refuses }: AdmittedLoadOptions,
): AdmittedLoad {
  const { agenda } = fixture;
  const { clock } = agenda;
  const ends: CallEnd[] = [];
  const most = { requests: 0, bytes: 0 };
  const backlogs = new Map<string, Backlog>();
  const budgets = new Map<string, RetryBudget>();
  for (const { id } of fixture.hosts) {
    const backlog = createBacklog({ clock, random });
    backlogs.set(id, backlog);
    budgets.set(id, createRetryBudget(clock));
    if (refuses) agenda.every(SWEEP_MS, backlog.sweep);
  }

  function end(call: Call, deadlineMs: number, result: CallEnd["result"]) {
    ends.push({
      arrivedMs: deadlineMs - call.timeoutMs,
      endedMs: clock.monotonicMs(),
      deadlineMs,
      cost: call.cost,
      team: call.team,
      result,
    });
  }

  function noteMost(backlog: Backlog): void {
    const use = backlog.getUse();
    most.requests = Math.max(most.requests, use.requests);
    most.bytes = Math.max(most.bytes, use.bytes);
  }

  function wait(call: Call, deadlineMs: number, runs: number): void {
    const backlog = backlogs.get(call.host.id)!;
    const timeoutMs = deadlineMs - clock.monotonicMs();
    const req = call.host.submit({
      team: call.team,
      service: SERVICE,
      cost: call.cost,
      timeoutMs,
      onStart: (started) => backlog.dequeue(started, "started"),
      onEnd: (ended) => endRun(call, ended, { deadlineMs, runs }),
    });
    if (req.state !== "waiting") return;
    backlog.enqueue(req, bodyBytes, () => {
      call.host.fleet.slots.cancel(req);
      req.state = "cancelled";
      end(call, deadlineMs, "given-up");
    });
    noteMost(backlog);
  }

  function endRun(
    call: Call,
    req: FixtureRequest,
    { deadlineMs, runs }: { deadlineMs: number; runs: number },
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
      runs < MAX_RUNS && clock.monotonicMs() < deadlineMs &&
      budget.tryTake(call.team, SERVICE)
    ) {
      wait(call, deadlineMs, runs + 1);
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
      if (refuses && decision.kind === "refused") {
        end(call, deadlineMs, "refused");
      } else {
        wait(call, deadlineMs, 1);
      }
    },
    getEnds: () => ends,
    getMostWaiting: () => most,
  };
}

/** Tokens a second of answers that came in time, of calls in the window. */
export function getGoodput(
  load: AdmittedLoad,
  window: { readonly fromMs: number; readonly toMs: number },
): number {
  const tokens = load.getEnds()
    .filter((end) => end.result === "answered" && end.endedMs <= end.deadlineMs)
    .filter((end) => end.endedMs >= window.fromMs && end.endedMs < window.toMs)
    .reduce((sum, end) => sum + end.cost, 0);
  return tokens * 1000 / (window.toMs - window.fromMs);
}

/**
 * Lets every team send at its share of the rate by weight, at random times and
 * through the few hosts that its callers use.
 */
export function sendByWeight(
  load: AdmittedLoad,
  fixture: FleetFixture,
  options: { perSecond: number; timeoutMs: number; random: Random },
): void {
  const { random, timeoutMs } = options;
  const { agenda, hosts } = fixture;
  const { teams } = fixture.deployment;
  const totalWeight = teams.reduce((sum, team) => sum + team.weight, 0);
  for (const team of teams) {
    const homes = pickHomes(hosts.length, random);
    const perSecond = options.perSecond * team.weight / totalWeight;
    const sendNext = () => {
      const gapMs = -Math.log(1 - random()) * 1000 / perSecond;
      agenda.after(gapMs, () => {
        const home = homes[Math.floor(random() * homes.length)]!;
        load.send({
          team: team.id,
          host: hosts[home]!,
          cost: pickMixedCost(random),
          timeoutMs,
        });
        sendNext();
      });
    };
    sendNext();
  }
}
