/**
 * Hands connections off to neighbouring hosts: relays the connection that one of
 * them takes, and gives the others back to be served here.
 *
 * Nothing is read from the caller before a target has taken its connection, so
 * a request that no target takes runs here exactly once. Nor has the target of a
 * relay on which nothing was passed on: the connection is taken back once that
 * target, or this host, no longer serves as agreed. A late request thus depends
 * on no host but the caller's own.
 *
 * @module
 */

import type { Socket } from "node:net";
import type { Clock } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import type { HandoffPolicy } from "./handoff_policy.ts";
import {
  type AttemptOutcome,
  CALLER_ABANDON_MS,
  formatRelay,
  type RelayId,
  type ReturnCause,
} from "./protocol.ts";
import { startNegotiation } from "./negotiation.ts";
import { type Relay, relayConnection, reset } from "./relay_connection.ts";
import { createStopNotices } from "./stop_notices.ts";

/** The handoffs of one origin. Disposal resets all connections. */
export interface HandoffOrigin extends Disposable {
  /**
   * Hands off nothing more, since this host stops, and takes back what can be.
   * The other relays go on until `endMs`, in monotonic ms; what their callers
   * still send is passed on once the target knows that.
   */
  leave(endMs: number): void;
  /** Called by a timer, many times per second. */
  tick(): void;
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
  /** Utilization of this host's event loop, from 0 to 1. */
  getUtilization(): number;
  /** Serves the connection at this host. */
  serve(caller: Socket): void;
  /**
   * How long a connection that is accepted now may have waited because of long
   * event-loop iterations, in ms.
   */
  getUnreadMs(): number;
  /** Called for each host that was asked. */
  onAsked(target: string, outcome: AttemptOutcome): void;
  /** Called for each connection that is closed, as it may have waited too long. */
  onAbandoned(): void;
  /** Called for each connection that was taken back from the target. */
  onReturned(target: string, cause: ReturnCause): void;
  log(decision: Decision): void;
}

/** Interval at which unused relays are looked through, in ms. */
const REVIEW_INTERVAL_MS = 250;

/**
 * Time for which a relay stays unused before a calm origin takes its connection
 * back, in ms. Most callers send their request at once.
 */
const MIN_UNUSED_MS = CALLER_ABANDON_MS;

/** A connection that a target has taken. */
interface OpenRelay {
  readonly caller: Socket;
  readonly target: string;
  readonly startedMs: number;
  readonly relay: Relay;
}

/** Creates an origin without open handoffs. */
export function createHandoffOrigin(host: HandoffOriginHost): HandoffOrigin {
  const { policy } = host;
  const notices = createStopNotices(host);
  const negotiations = new Set<Disposable>();
  const relays = new Set<OpenRelay>();
  let isLeaving = false;
  let isDisposed = false;
  let offered = 0;
  let reviewedMs = -Infinity;

  function createRelayId(): RelayId {
    offered++;
    return {
      origin: host.self,
      incarnation: host.incarnation,
      number: offered,
    };
  }

  function tryBegin(): string | undefined {
    const mayHandOff = !isLeaving && policy.mayHandOff();
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
    const open: OpenRelay = {
      caller,
      target: name,
      startedMs,
      relay: relayConnection({ caller, target }, {
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
        onReturned: () => serveReturned(open, "target-closed"),
        onClosed() {
          relays.delete(open);
          policy.end(name);
        },
      }),
    };
    relays.add(open);
  }

  function serveReturned(open: OpenRelay, cause: ReturnCause): void {
    relays.delete(open);
    host.onReturned(open.target, cause);
    if (isDisposed) reset(open.caller);
    else host.serve(open.caller);
  }

  function takeBack(open: OpenRelay, cause: ReturnCause): void {
    open.relay.release();
    serveReturned(open, cause);
  }

  function tryGetReturnCause(open: OpenRelay): ReturnCause | undefined {
    if (isLeaving) return "origin-stops";
    if (!policy.isNeighbour(open.target)) return "target-gone";
    const unusedMs = host.clock.monotonicMs() - open.startedMs;
    const isDue = unusedMs >= MIN_UNUSED_MS && !policy.isOverloaded();
    return isDue ? "calm" : undefined;
  }

  function announceStop(target: string, endMs: number): void {
    const getRelays = () =>
      [...relays].filter((each) => each.target === target);
    for (const { relay } of getRelays()) relay.pausePassingOn();
    notices.send(target, endMs, () => {
      for (const { relay } of getRelays()) relay.resumePassingOn();
    });
  }

  function reviewUnused(): void {
    for (const open of [...relays]) {
      if (open.relay.isUsed()) continue;
      const cause = tryGetReturnCause(open);
      if (cause !== undefined) takeBack(open, cause);
    }
  }

  function negotiate(caller: Socket, firstTarget: string): void {
    const id = createRelayId();

    function end(): void {
      negotiations.delete(negotiation);
    }

    function serveHere(): void {
      end();
      host.serve(caller);
    }

    const negotiated = startNegotiation({
      id,
      utilization: host.getUtilization(),
      firstTarget,
      tryGetNext: tryBegin,
      onAsked(target, outcome) {
        policy.recordOutcome(target, outcome);
        host.onAsked(target, outcome);
      },
      onTaken(name, target) {
        if (!isLeaving) {
          end();
          return relay({ caller, target, name, id });
        }
        reset(target);
        policy.end(name);
        serveHere();
      },
      onUntaken: serveHere,
    });
    const negotiation: Disposable = {
      [Symbol.dispose]() {
        end();
        negotiated[Symbol.dispose]();
        reset(caller);
      },
    };
    negotiations.add(negotiation);
  }

  return {
    leave(endMs) {
      isLeaving = true;
      reviewUnused();
      const targets = new Set([...relays].map(({ target }) => target));
      for (const target of targets) announceStop(target, endMs);
    },
    tick() {
      const nowMs = host.clock.monotonicMs();
      if (nowMs - reviewedMs < REVIEW_INTERVAL_MS) return;
      reviewedMs = nowMs;
      reviewUnused();
    },
    countInFlight: () =>
      negotiations.size +
      [...relays].filter(({ caller }) => caller.bytesRead > 0).length,
    offer(caller) {
      const target = tryBegin();
      if (target === undefined) return host.serve(caller);
      if (host.getUnreadMs() < CALLER_ABANDON_MS) {
        return negotiate(caller, target);
      }
      // The target can't see how long the connection has waited here, and would
      // serve a caller that has left.
      policy.end(target);
      host.onAbandoned();
      reset(caller);
    },
    [Symbol.dispose]() {
      isLeaving = true;
      isDisposed = true;
      notices[Symbol.dispose]();
      for (const each of [...negotiations]) each[Symbol.dispose]();
      for (const { relay } of [...relays]) relay[Symbol.dispose]();
    },
  };
}
