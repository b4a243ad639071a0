/**
 * Tells the targets of relays that this host stops and until when it relays,
 * again and again until they know.
 *
 * @module
 */

import { type Clock, startTimeout } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import { askTarget } from "./handoff_client.ts";
import { encodeStop, HANDOFF_TIMEOUT_MS } from "./protocol.ts";

/** The notices of a host that stops. Disposal ends them. */
export interface StopNotices extends Disposable {
  /**
   * Tells the target, and calls `onKnown` once it knows. `endMs` is the end of
   * this host's relays, in monotonic ms.
   */
  send(target: string, endMs: number, onKnown: () => void): void;
}

/** Dependencies of the notices. */
export interface StopNoticesHost {
  readonly clock: Clock;
  /** Peer address of this host. */
  readonly self: string;
  /** Incarnation of this process. */
  readonly incarnation: number;
  log(decision: Decision): void;
}

/** Pause before a target that did not answer is told again, in ms. */
const RETRY_PAUSE_MS = 250;

/** Creates the notices of a host that hasn't sent any. */
export function createStopNotices(host: StopNoticesHost): StopNotices {
  const { clock, self, incarnation } = host;
  /** What is under way for each target: an attempt, or the pause behind it. */
  const running = new Map<string, Disposable>();

  return {
    send(target, endMs, onKnown) {
      const sentMs = clock.monotonicMs();
      let attempts = 0;

      function tell(): void {
        attempts++;
        const leftMs = Math.max(0, Math.floor(endMs - clock.monotonicMs()));
        const notice = encodeStop({ origin: self, incarnation, leftMs });
        const asked = askTarget(target, notice, (answer) => {
          timeout[Symbol.dispose]();
          if (answer.outcome !== "taken") return retryLater();
          answer.socket.destroy();
          running.delete(target);
          log(true);
          onKnown();
        });
        const timeout = startTimeout(HANDOFF_TIMEOUT_MS, () => {
          asked[Symbol.dispose]();
          retryLater();
        });
        running.set(target, {
          [Symbol.dispose]() {
            timeout[Symbol.dispose]();
            asked[Symbol.dispose]();
          },
        });
      }

      function retryLater(): void {
        if (attempts === 1) log(false);
        running.set(target, startTimeout(RETRY_PAUSE_MS, tell));
      }

      function log(isKnown: boolean): void {
        const tookMs = Math.round(clock.monotonicMs() - sentMs);
        host.log({
          event: "stop-announced",
          target,
          isKnown,
          attempts,
          tookMs,
        });
      }

      tell();
    },
    [Symbol.dispose]() {
      for (const each of running.values()) each[Symbol.dispose]();
      running.clear();
    },
  };
}
