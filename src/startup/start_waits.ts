/**
 * What the start of a process waits for: a settings file that is being written,
 * an address that the process before it still holds. Each is tried again until
 * it succeeds, up to a limit, and is given up when the process is asked to stop.
 *
 * @module
 */

import * as Data from "effect/Data";
import { getErrorMessage } from "../core/mod.ts";
import type { StopRequest } from "./signal_record.ts";

/** The process was asked to stop before it had started. */
export class StartStopped extends Data.TaggedError("StartStopped")<object> {}

/** What the start waited for did not come within the limit. */
export class StartWaitError extends Data.TaggedError("StartWaitError")<{
  readonly waitsFor: string;
  readonly waitedMs: number;
  readonly reason: string;
}> {
  override get message(): string {
    const seconds = (this.waitedMs / 1_000).toFixed(1);
    return `Waited ${seconds} s for ${this.waitsFor}: ${this.reason}`;
  }
}

/** One wait, as it is logged. */
export interface StartWait {
  readonly waitsFor: string;
  readonly reason: string;
  readonly waitedMs: number;
  readonly limitMs: number;
}

/** Dependencies of the waits. */
export interface StartWaitsHost {
  nowMs(): number;
  /** Resolves after the time, in ms. */
  sleep(ms: number): Promise<unknown>;
  readonly stop: Pick<StopRequest, "tryGet" | "requested">;
  /** Called at the first failure and then each second. */
  onWaiting(wait: StartWait): void;
}

/** Which errors are waited out, and for how long. */
export interface WaitOptions {
  /** Whether the error may pass by itself. */
  isPassing(err: unknown): boolean;
  readonly limitMs: number;
}

/**
 * Tries until it succeeds. Rejects with `StartStopped` when the process is asked
 * to stop, with `StartWaitError` at the limit, and with any error that waiting
 * can't cure at once.
 */
export type TryUntilDone = <T>(
  waitsFor: string,
  attempt: () => T | Promise<T>,
  options: WaitOptions,
) => Promise<T>;

/** Time between two attempts, in ms. */
const RETRY_MS = 100;

/** Time between two log lines of one wait, in ms. */
const REPORT_PERIOD_MS = 1_000;

/** Creates the function that all waits of a start use. */
export function createStartWaits(host: StartWaitsHost): TryUntilDone {
  return async (waitsFor, attempt, { isPassing, limitMs }) => {
    const sinceMs = host.nowMs();
    let nextReportMs = sinceMs;
    while (true) {
      if (host.stop.tryGet() !== undefined) throw new StartStopped();
      try {
        return await attempt();
      } catch (err) {
        if (!isPassing(err)) throw err;
        const nowMs = host.nowMs();
        const waitedMs = Math.round(nowMs - sinceMs);
        const reason = getErrorMessage(err);
        if (waitedMs >= limitMs) {
          throw new StartWaitError({ waitsFor, waitedMs, reason });
        }
        if (nowMs >= nextReportMs) {
          host.onWaiting({ waitsFor, reason, waitedMs, limitMs });
          nextReportMs = nowMs + REPORT_PERIOD_MS;
        }
      }
      await Promise.race([host.sleep(RETRY_MS), host.stop.requested]);
    }
  };
}

/**
 * Time for which a start waits for a settings file that is absent or wrong, in
 * ms. Whoever writes it has done so long before.
 */
export const SETTINGS_LIMIT_MS = 10_000;

/**
 * Time beyond the grace of a process that stops until its addresses are free, in
 * ms.
 */
const RELEASE_MARGIN_MS = 2_000;

/**
 * Returns how long to wait for an address that the process before this one may
 * hold: until that process is killed, in ms.
 */
export function getAddressLimitMs(graceMs: number): number {
  return graceMs + RELEASE_MARGIN_MS;
}
