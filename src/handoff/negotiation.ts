/**
 * Offers one connection to up to two hosts, one after the other, within the
 * time-out of a handoff.
 *
 * @module
 */

import type { Socket } from "node:net";
import { startTimeout } from "../core/mod.ts";
import { askTarget } from "./handoff_client.ts";
import {
  type AttemptOutcome,
  encodeHandoff,
  HANDOFF_TIMEOUT_MS,
  type RelayId,
} from "./protocol.ts";

/** One connection to hand off. */
export interface Offer {
  readonly id: RelayId;
  /** Utilization of this host's event loop, from 0 to 1. */
  readonly utilization: number;
  /** Peer address of the host that is asked first. */
  readonly firstTarget: string;
  /** Returns the host that is asked after a refusal; `undefined` for none. */
  tryGetNext(): string | undefined;
  /** Called for each host that was asked. */
  onAsked(target: string, outcome: AttemptOutcome): void;
  /** Called once, at the end: with the target's connection if one took it. */
  onTaken(target: string, socket: Socket): void;
  onUntaken(): void;
}

/** Maximum number of hosts that are asked to take a connection. */
export const MAX_HANDOFF_ATTEMPTS = 2;

/** Starts to ask. Disposal ends that without a call of `onUntaken`. */
export function startNegotiation(offer: Offer): Disposable {
  const preface = encodeHandoff(offer.id, offer.utilization);
  let attempts = 0;
  let asked: Disposable;
  let target: string;

  function ask(name: string): void {
    attempts++;
    target = name;
    asked = askTarget(name, preface, (answer) => {
      offer.onAsked(name, answer.outcome);
      if (answer.outcome === "taken") {
        timeout[Symbol.dispose]();
        return offer.onTaken(name, answer.socket);
      }
      const next = attempts < MAX_HANDOFF_ATTEMPTS
        ? offer.tryGetNext()
        : undefined;
      if (next !== undefined) return ask(next);
      timeout[Symbol.dispose]();
      offer.onUntaken();
    });
  }

  const timeout = startTimeout(HANDOFF_TIMEOUT_MS, () => {
    asked[Symbol.dispose]();
    offer.onAsked(target, "unreachable");
    offer.onUntaken();
  });
  ask(offer.firstTarget);
  return {
    [Symbol.dispose]() {
      timeout[Symbol.dispose]();
      asked[Symbol.dispose]();
    },
  };
}
