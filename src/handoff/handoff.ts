/**
 * Joins the parts of the connection handoff of one host, which is the origin of
 * some handoffs and the target of others.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import type { ProcessorUse } from "../types.ts";
import {
  createEventLoopUtilization,
  type LoopTimes,
} from "./event_loop_utilization.ts";
import { mayTakeConnection } from "./handoff_intake.ts";
import { createHandoffOrigin } from "./handoff_origin.ts";
import { createHandoffPolicy } from "./handoff_policy.ts";
import { createHandoffReport } from "./handoff_report.ts";
import { type ConnectionUse, createLastResponses } from "./last_responses.ts";
import { createHandoffServer, type HandoffServer } from "./handoff_server.ts";
import {
  type AttemptOutcome,
  getHandoffAddress,
  getMaxHandoffs,
  type ReceivedOutcome,
  RETURN_CAUSES,
  type ReturnCause,
} from "./protocol.ts";

/** The handoffs of one host. Disposal ends all of them. */
export interface Handoff
  extends
    AsyncDisposable,
    Pick<HandoffServer, "tryGetRelay" | "lasts" | "onEnding"> {
  /** Starts to take connections from other hosts. */
  listen(): Promise<void>;
  /**
   * Hands off a new connection of a caller, from which nothing was read, or has
   * it served by this host.
   */
  offer(caller: Socket): void;
  /**
   * Must be called for each request. Its response closes the connection if the
   * connection was handed off to this host, or while this host is overloaded.
   * Returns `false` if the request must not run, since its connection is about
   * to be closed.
   */
  acceptRequest(req: IncomingMessage, res: ServerResponse): boolean;
  /**
   * To be called as this host begins to stop, with the time in monotonic ms at
   * which its drain ends. Takes back the connections on which nothing was passed
   * on, hands off no more, and tells the targets of the others.
   */
  leave(endMs: number): void;
  /** Resets the connections that this host relays. To be called at its exit. */
  cutRelays(): void;
  /** Called by a timer, many times per second. */
  tick(): void;
  /** How much of its processor time this host uses. */
  getProcessorUse(): ProcessorUse;
  /**
   * Utilization of this host's event loop, from 0 to 1; 0 while too few hosts
   * are alive in the data centre for handoffs.
   */
  getUtilization(): number;
  /** Whether enough hosts are alive in the data centre for handoffs. */
  hasEnoughHosts(): boolean;
  /** Open handoffs of this host as the origin. */
  countOpen(): number;
  /**
   * Connections that are in flight without a response of this host: those that
   * it offers to others, those that it relays and whose callers have sent
   * something, and those that it has just taken and on which no request has
   * arrived.
   */
  countInFlight(): number;
}

/** Dependencies of the handoff. Hosts are identified by their peer address. */
export interface HandoffHost {
  readonly clock: Clock;
  readonly self: string;
  /** Incarnation of this process. */
  readonly incarnation: number;
  /** Maximum number of file descriptors of this process. */
  readonly maxFds: number;
  random(): number;
  readLoopTimes(): LoopTimes;
  /** How long input that is read now may have waited unread, in ms. */
  getUnreadMs(): number;
  /** The hosts alive in this data centre, including this one. */
  getAliveHosts(): readonly string[];
  isFull(host: string): boolean;
  isDraining(): boolean;
  /** Whether this host has received a configuration. */
  isConfigured(): boolean;
  /** Serves the connection at this host. */
  serve(socket: Socket): void;
  /** Called for each target that was asked. */
  onAsked(outcome: AttemptOutcome): void;
  /** Called for each connection that another host handed off. */
  onReceived(outcome: ReceivedOutcome): void;
  /** Called for each connection that is closed, as it may have waited too long. */
  onAbandoned(): void;
  /** Called for each connection that this host took back. */
  onReturned(cause: ReturnCause): void;
  log(decision: Decision): void;
}

/**
 * Time before the end of this host's drain at which its targets end what is open,
 * in ms, so that their last responses still pass.
 */
const RELAY_MARGIN_MS = 100;

/** Creates the handoff of a host that takes no connections yet. */
export function createHandoff(host: HandoffHost): Handoff {
  const { clock, self } = host;
  const maxOpen = getMaxHandoffs(host.maxFds);
  const utilization = createEventLoopUtilization(clock, host.readLoopTimes);
  const getLoggedUtilization = () => Math.round(utilization.get() * 100) / 100;
  const asked = createHandoffReport<AttemptOutcome>(
    clock,
    ["taken", "refused", "unreachable"],
    ({ counts, others }) =>
      host.log({
        event: "connections-handed-off",
        ...counts,
        targets: others,
        open: policy.countOpen(),
        utilization: getLoggedUtilization(),
      }),
  );
  const received = createHandoffReport<ReceivedOutcome>(
    clock,
    ["taken", "refused"],
    ({ counts, others }) =>
      host.log({
        event: "connections-received",
        ...counts,
        origins: others,
        open: server.countOpen(),
        utilization: getLoggedUtilization(),
      }),
  );
  const returned = createHandoffReport<ReturnCause>(
    clock,
    RETURN_CAUSES,
    ({ counts, others }) =>
      host.log({
        event: "connections-returned",
        originStops: counts["origin-stops"],
        targetClosed: counts["target-closed"],
        targetGone: counts["target-gone"],
        calm: counts.calm,
        targets: others,
        open: policy.countOpen(),
      }),
  );
  const policy = createHandoffPolicy({
    ...host,
    maxOpen,
    getUtilization: utilization.get,
  });
  const origin = createHandoffOrigin({
    ...host,
    policy,
    getUtilization: utilization.get,
    onAsked(target, outcome) {
      asked.count(target, outcome);
      host.onAsked(outcome);
    },
    onReturned(target, cause) {
      returned.count(target, cause);
      host.onReturned(cause);
    },
  });
  const server = createHandoffServer({
    clock,
    serve: host.serve,
    mayTake: (offer) =>
      mayTakeConnection({
        utilization: utilization.get(),
        originUtilization: offer.utilization,
        isDraining: host.isDraining(),
        isConfigured: host.isConfigured(),
        open: server.countOpen(),
        maxOpen,
      }),
    onError: (reason) =>
      host.log({ event: "task-failed", task: "handoff server", reason }),
    onAnswered(from, outcome) {
      received.count(from, outcome);
      if (outcome === "refused") policy.recordRefusal();
      host.onReceived(outcome);
    },
    log: host.log,
  });

  const lastResponses = createLastResponses();

  /** A connection that leads through two hosts carries one response, whatever it is. */
  function getUse(isTaken: boolean): ConnectionUse {
    if (isTaken) return "close";
    return policy.isOverloaded() ? "close-unless-early" : "keep";
  }

  return {
    listen: () => server.listen(getHandoffAddress(self)),
    offer: origin.offer,
    acceptRequest(req, res) {
      const isTaken = server.recordRequest(req);
      return lastResponses.acceptRequest(req, res, getUse(isTaken));
    },
    tryGetRelay: server.tryGetRelay,
    lasts: server.lasts,
    onEnding: server.onEnding,
    leave: (endMs) => origin.leave(endMs - RELAY_MARGIN_MS),
    cutRelays: () => origin[Symbol.dispose](),
    tick() {
      utilization.tick();
      asked.tick();
      received.tick();
      returned.tick();
      origin.tick();
    },
    hasEnoughHosts: policy.hasEnoughHosts,
    getProcessorUse: () => ({
      utilization: utilization.get(),
      isShort: policy.isShortOfTime(),
    }),
    getUtilization: () => policy.hasEnoughHosts() ? utilization.get() : 0,
    countOpen: policy.countOpen,
    countInFlight: () => origin.countInFlight() + server.countWaiting(),
    async [Symbol.asyncDispose]() {
      origin[Symbol.dispose]();
      await server[Symbol.asyncDispose]();
    },
  };
}
