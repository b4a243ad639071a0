/**
 * A fake upstream in virtual time: each request in it gets tokens at one rate,
 * whatever the number of others, up to its batch; above that all slow down. It
 * can be made slow, be stalled or fail.
 *
 * @module
 */

import type { VirtualScheduler } from "./virtual_scheduler.ts";

/** Times of a fake upstream in milliseconds. */
export interface FakeUpstreamOptions {
  readonly scheduler: VirtualScheduler;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  /** A request held by a stalled upstream fails after so long; never if absent. */
  readonly stallTimeoutMs?: number;
}

/** What the fake needs to know of a request. */
export interface ServedRequest {
  readonly team: string;
  readonly cost: number;
}

/** A fake upstream. */
export interface FakeUpstream {
  readonly id: string;
  /** Serves the request; `done` is called once, at its end. */
  serve(
    req: ServedRequest,
    done: (result: "answered" | "failed", firstByteMs: number) => void,
  ): void;
  getInFlight(): number;
  /** Most requests in flight at once so far. */
  getPeakInFlight(): number;
  /** Milliseconds of slots in use, summed over all requests so far. */
  getBusyMs(): number;
  /** Requests that start from now take so many times as long. */
  setSlowFactor(factor: number): void;
  /** While true, requests that start end never, or when it turns false. */
  setStalled(isStalled: boolean): void;
  /** While true, requests that start fail after the first-token time. */
  setFailing(isFailing: boolean): void;
  /** Adds the service so far by team, as tokens stream. */
  addService(sums: Map<string, number>): void;
}

interface RunningRequest {
  readonly req: ServedRequest;
  readonly startMs: number;
  readonly firstByteMs: number;
  readonly endMs: number;
}

/** Makes an idle upstream. */
export function createFakeUpstream(
  id: string,
  options: FakeUpstreamOptions,
): FakeUpstream {
  const { scheduler } = options;
  const running = new Set<RunningRequest>();
  const served = new Map<string, number>();
  let stalled: (() => void)[] = [];
  let slowFactor = 1;
  let isStalled = false;
  let isFailing = false;
  let peak = 0;
  let busyMs = 0;

  function getStreamedCost(each: RunningRequest, nowMs: number): number {
    const streamMs = each.endMs - each.startMs - each.firstByteMs;
    const doneMs = nowMs - each.startMs - each.firstByteMs;
    if (streamMs <= 0) return 0;
    return each.req.cost * Math.min(1, Math.max(0, doneMs / streamMs));
  }

  function run(
    req: ServedRequest,
    done: (result: "answered" | "failed", firstByteMs: number) => void,
    stalledMs: number,
  ): void {
    const startMs = scheduler.clock.monotonicMs();
    const ownFirstMs = options.firstTokenMs * slowFactor;
    const firstByteMs = stalledMs + ownFirstMs;
    const streamMs = isFailing ? 0 : req.cost * options.tokenMs * slowFactor;
    const each: RunningRequest = {
      req,
      startMs,
      firstByteMs: ownFirstMs,
      endMs: startMs + ownFirstMs + streamMs,
    };
    const result = isFailing ? "failed" : "answered";
    running.add(each);
    peak = Math.max(peak, running.size + stalled.length);
    scheduler.after(ownFirstMs + streamMs, () => {
      running.delete(each);
      busyMs += scheduler.clock.monotonicMs() - startMs;
      if (result === "answered") {
        served.set(req.team, (served.get(req.team) ?? 0) + req.cost);
      }
      done(result, firstByteMs);
    });
  }

  return {
    id,
    serve(req, done) {
      if (!isStalled) {
        run(req, done, 0);
        return;
      }
      const stalledFromMs = scheduler.clock.monotonicMs();
      const start = () =>
        run(req, done, scheduler.clock.monotonicMs() - stalledFromMs);
      stalled.push(start);
      if (options.stallTimeoutMs !== undefined) {
        scheduler.after(options.stallTimeoutMs, () => {
          if (!stalled.includes(start)) return;
          stalled = stalled.filter((each) => each !== start);
          done("failed", 0);
        });
      }
      peak = Math.max(peak, running.size + stalled.length);
    },
    getInFlight: () => running.size + stalled.length,
    getPeakInFlight: () => peak,
    getBusyMs() {
      const nowMs = scheduler.clock.monotonicMs();
      let sum = busyMs;
      for (const each of running) sum += nowMs - each.startMs;
      return sum;
    },
    setSlowFactor(factor) {
      slowFactor = factor;
    },
    setStalled(value) {
      isStalled = value;
      if (value) return;
      const held = stalled;
      stalled = [];
      for (const start of held) start();
    },
    setFailing(value) {
      isFailing = value;
    },
    addService(sums) {
      const nowMs = scheduler.clock.monotonicMs();
      for (const [team, cost] of served) {
        sums.set(team, (sums.get(team) ?? 0) + cost);
      }
      for (const each of running) {
        const { team } = each.req;
        const streamed = getStreamedCost(each, nowMs);
        sums.set(team, (sums.get(team) ?? 0) + streamed);
      }
    },
  };
}
