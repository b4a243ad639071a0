/**
 * Hands connections off to neighbouring hosts: asks up to two of them within
 * the time-out, relays the connection that one of them takes, and gives the
 * others back to be served here.
 *
 * Nothing is read from the caller before a target has taken its connection, so
 * a request that no target takes runs here exactly once.
 *
 * @module
 */

import type { Socket } from "node:net";
import { type Clock, startTimeout } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import { askTarget } from "./handoff_client.ts";
import type { HandoffPolicy } from "./handoff_policy.ts";
import {
  type AttemptOutcome,
  CALLER_ABANDON_MS,
  formatRelay,
  HANDOFF_TIMEOUT_MS,
  type RelayId,
} from "./protocol.ts";
import { relayConnection, reset } from "./relay_connection.ts";

/** The handoffs of one origin. Disposal resets all connections. */
export interface HandoffOrigin extends Disposable {
  /**
   * Connections that are being offered to a target, and relays on which the
   * caller has sent something.
   */
  countInFlight(): number;
  /**
   * Hands off the connection, from which nothing was read, or has it served by
   * this host. Closes it if it may have waited for longer than callers do.
   */
  offer(caller: Socket): void;
}

/** Dependencies of an origin. */
export interface HandoffOriginHost {
  readonly clock: Clock;
  /** Peer address of this host. */
  readonly self: string;
  /** Incarnation of this process. */
  readonly incarnation: number;
  readonly policy: HandoffPolicy;
  /** Serves the connection at this host. */
  serve(caller: Socket): void;
  /**
   * How long a connection that is accepted now may have waited because of long
   * event-loop iterations, in ms.
   */
  getUnreadMs(): number;
  /** Called for each host that was asked. */
  onAsked(target: string, outcome: AttemptOutcome): void;
  log(decision: Decision): void;
}

/** Maximum number of hosts that are asked to take a connection. */
const MAX_ATTEMPTS = 2;

/** Creates an origin without open handoffs. */
export function createHandoffOrigin(host: HandoffOriginHost): HandoffOrigin {
  const { policy } = host;
  /** Ends each negotiation and relay; with the caller of a relay. */
  const running = new Map<Disposable, Socket | undefined>();
  let isDisposed = false;
  let offered = 0;

  function createRelayId(): RelayId {
    offered++;
    return {
      origin: host.self,
      incarnation: host.incarnation,
      number: offered,
    };
  }

  function tryBegin(): string | undefined {
    const mayHandOff = !isDisposed && policy.mayHandOff();
    return mayHandOff ? policy.tryBegin() : undefined;
  }

  function relay(
    { caller, target, name, id }: {
      readonly caller: Socket;
      readonly target: Socket;
      readonly name: string;
      readonly id: RelayId;
    },
  ): void {
    const startedMs = host.clock.monotonicMs();
    const callerAddress = `${caller.remoteAddress}:${caller.remotePort}`;
    const relayed = relayConnection({ caller, target }, {
      onCut: (cause) =>
        host.log({
          event: "relay-cut",
          relay: formatRelay(id),
          target: name,
          caller: callerAddress,
          cause,
          callerBytes: caller.bytesRead,
          answerBytes: caller.bytesWritten,
          ageMs: Math.round(host.clock.monotonicMs() - startedMs),
        }),
      onClosed() {
        running.delete(relayed);
        policy.end(name);
      },
    });
    running.set(relayed, caller);
  }

  function negotiate(caller: Socket, firstTarget: string): void {
    const id = createRelayId();
    let attempts = 0;
    let asked: Disposable;
    let target: string;

    function ask(name: string): void {
      attempts++;
      target = name;
      asked = askTarget(name, id, (answer) => {
        record(answer.outcome);
        if (answer.outcome === "taken") {
          stop();
          relay({ caller, target: answer.socket, name, id });
          return;
        }
        const next = attempts < MAX_ATTEMPTS ? tryBegin() : undefined;
        if (next === undefined) serveHere();
        else ask(next);
      });
    }

    function record(outcome: AttemptOutcome): void {
      policy.recordOutcome(target, outcome);
      host.onAsked(target, outcome);
    }

    function stop(): void {
      timeout[Symbol.dispose]();
      running.delete(negotiation);
    }

    function serveHere(): void {
      stop();
      host.serve(caller);
    }

    const timeout = startTimeout(HANDOFF_TIMEOUT_MS, () => {
      asked[Symbol.dispose]();
      record("unreachable");
      serveHere();
    });
    const negotiation: Disposable = {
      [Symbol.dispose]() {
        stop();
        asked[Symbol.dispose]();
        reset(caller);
      },
    };
    running.set(negotiation, undefined);
    ask(firstTarget);
  }

  return {
    countInFlight: () =>
      [...running.values()]
        .filter((caller) => caller === undefined || caller.bytesRead > 0)
        .length,
    offer(caller) {
      const target = tryBegin();
      if (target === undefined) return host.serve(caller);
      if (host.getUnreadMs() < CALLER_ABANDON_MS) {
        return negotiate(caller, target);
      }
      // The target can't see how long the connection has waited here, and would
      // serve a caller that has left.
      policy.end(target);
      reset(caller);
    },
    [Symbol.dispose]() {
      isDisposed = true;
      for (const each of [...running.keys()]) each[Symbol.dispose]();
    },
  };
}
