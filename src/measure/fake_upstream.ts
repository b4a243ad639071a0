/**
 * A fake upstream in virtual time. Each request generates tokens at a fixed
 * rate that does not depend on the number of concurrent requests. The upstream
 * can be made slow, stalled or failing.
 *
 * @module
 */

import type { VirtualScheduler } from "./virtual_scheduler.ts";

/** Scheduler and times of a fake upstream; times in milliseconds. */
export interface FakeUpstreamOptions {
  readonly scheduler: VirtualScheduler;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  /**
   * Time after which a request at a stalled upstream fails; without it, never.
   */
  readonly stallTimeoutMs?: number;
}

/** A request as the fake upstream sees it. */
export interface ServedRequest {
  readonly team: string;
  readonly cost: number;
}

/** A fake upstream. */
export interface FakeUpstream {
  readonly id: string;
  /** Serves the request and calls `done` once, when the request ends. */
  serve(
    req: ServedRequest,
    done: (result: "answered" | "failed", firstByteMs: number) => void,
  ): void;
  getInFlight(): number;
  /** Largest number of concurrent requests so far. */
  getPeakInFlight(): number;
  /** Time that slots were in use, summed over all requests so far. */
  getBusyMs(): number;
  /** Multiplies the duration of requests that start from now on. */
  setSlowFactor(factor: number): void;
  /**
   * While stalled, new requests do not start. They start when the stall ends,
   * unless they have failed after `stallTimeoutMs`.
   */
  setStalled(isStalled: boolean): void;
  /** While failing, new requests fail after the time to the first token. */
  setFailing(isFailing: boolean): void;
  /**
   * Adds the service so far to the sum of each team, running requests included.
   */
  addService(sums: Map<string, number>): void;
}

interface RunningRequest {
  readonly req: ServedRequest;
  readonly startMs: number;
  readonly firstByteMs: number;
  readonly endMs: number;
}

/** Creates an idle upstream. */
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
