/**
 * The decisions of an entry host on itself and the other hosts that it logs: its
 * start and end, its members, the callers that it takes, its own faults.
 *
 * @module
 */

import type { UncaughtError } from "./runtime_watch.ts";
import type { LoadCoverage } from "./request_decisions.ts";
import type { RuntimeWarning } from "./runtime_warnings.ts";

/** Service of a team at one host since the start of its process, in tokens. */
export interface TeamServiceTotals {
  readonly team: string;
  readonly asked: number;
  /** The first attempt of each request counts. */
  readonly begun: number;
  /** Service of further attempts. */
  readonly repeated: number;
  /** Service of prompts whose callers got the whole response. */
  readonly answered: number;
}

/** What a host did in a second, and the processor time that it took. */
export interface HostActivity {
  /** Connections of its own callers that it accepted. */
  readonly accepted: number;
  /** Those of them that another host took. */
  readonly handedOff: number;
  /** Those that it closed, since their callers may have left meanwhile. */
  readonly abandoned: number;
  /** Connections that it took from other hosts. */
  readonly received: number;
  /** Requests whose response was relayed whole. */
  readonly answered: number;
  /** Requests refused by their headers or after a wait, as too much waits. */
  readonly refusedEarly: number;
  readonly refusedLate: number;
  /** Requests that ended in another way. */
  readonly otherEnds: number;
  /** Processor time of the process. */
  readonly processorMs: number;
  /**
   * Time of the decisions of its ticks, scheduling passes above all; waits for the
   * processor count.
   */
  readonly passMs: number;
  /** Utilization of the event loop, from 0 to 1. */
  readonly utilization: number;
}

/** A decision on the fleet's hosts, with the data that it was based on. */
export type HostDecision =
  | {
    /** The first line of a process, before anything that can fail. */
    readonly event: "starting";
    /** Time since the process began, in ms, as in all lines of a start. */
    readonly ageMs: number;
  }
  | {
    readonly event: "signal-received";
    readonly signal: string;
    /** Age of the process as the signal was handled, in ms. */
    readonly ageMs: number;
  }
  | {
    /** The start waits for something, and goes on once it is there. */
    readonly event: "start-waiting";
    readonly waitsFor: string;
    readonly reason: string;
    readonly waitedMs: number;
    /** Time after which the start fails, in ms. */
    readonly limitMs: number;
  }
  | {
    /** The process ends, since it could not start. */
    readonly event: "start-failed";
    readonly reason: string;
    readonly ageMs: number;
  }
  | {
    readonly event: "started";
    /** Time from the start of this host in its process, in ms. */
    readonly tookMs: number;
    readonly name: string;
    readonly incarnation: number;
    readonly callers: string;
    readonly peers: string;
  }
  | {
    readonly event: "settings-reloaded" | "settings-refused";
    readonly reason: string;
  }
  | {
    readonly event: "drain-phase";
    readonly phase: string;
    readonly inFlight: number;
  }
  | { readonly event: "stopped"; readonly cut: number; readonly tookMs: number }
  | {
    readonly event: "member-changed";
    readonly member: string;
    readonly state: string;
    readonly incarnation: number;
  }
  | {
    /** What teams asked for and were given at this host since its start. */
    readonly event: "service-counted";
    /** The teams that asked for most in the last second. */
    readonly teams: readonly TeamServiceTotals[];
    readonly coverage: LoadCoverage;
  }
  | ({
    /** What this host's processor time went to in the last second. */
    readonly event: "processor-used";
  } & HostActivity)
  | {
    /** This host stopped or resumed accepting new callers. */
    readonly event: "intake-changed";
    readonly isFull: boolean;
    /** Mean duration of event-loop iterations over the last second. */
    readonly meanTurnMs: number;
  }
  | {
    /** This host nears the memory above which it is killed, or no longer. */
    readonly event: "memory-changed";
    readonly isHigh: boolean;
    readonly residentBytes: number;
    readonly limitBytes: number;
    readonly heapUsed: number;
    readonly external: number;
    readonly arrayBuffers: number;
    /** What this host counts as held of requests' bodies and of responses. */
    readonly requestBytes: number;
    readonly responseBytes: number;
    /** Open connections of callers. */
    readonly connections: number;
    readonly inFlight: number;
  }
  | {
    /**
     * A connection was closed, since there is no room for more requests that
     * wait behind others of their connection.
     */
    readonly event: "pipeline-dropped";
    readonly waiting: number;
  }
  | {
    /** This host handed connections off in the last second, or tried to. */
    readonly event: "connections-handed-off";
    /** Hosts that were asked, by outcome. */
    readonly taken: number;
    readonly refused: number;
    readonly unreachable: number;
    /** Peer addresses of the hosts that took connections. */
    readonly targets: readonly string[];
    /** Connections that this host hands off at present. */
    readonly open: number;
    /** Utilization of this host's event loop, from 0 to 1. */
    readonly utilization: number;
  }
  | {
    /** Other hosts handed connections off to this host in the last second. */
    readonly event: "connections-received";
    readonly taken: number;
    readonly refused: number;
    /** Peer addresses of the hosts whose connections were taken. */
    readonly origins: readonly string[];
    /** Handed-off connections that this host serves at present. */
    readonly open: number;
    /** Utilization of this host's event loop, from 0 to 1. */
    readonly utilization: number;
  }
  | {
    /**
     * This host, which stops, told the target of connections that it relays, or
     * got no answer to its first attempt.
     */
    readonly event: "stop-announced";
    /** Peer address of the target. */
    readonly target: string;
    readonly isKnown: boolean;
    readonly attempts: number;
    /** Time since the first attempt, in ms. */
    readonly tookMs: number;
  }
  | {
    /** A host whose connections this host has taken told it that it stops. */
    readonly event: "origin-stopping";
    /** Its peer address. */
    readonly origin: string;
    /** Time for which it still relays, in ms. */
    readonly leftMs: number;
    /** Its connections that are open here. */
    readonly open: number;
  }
  | {
    /**
     * This host took connections back in the last second that it had handed off
     * and on which nothing was passed on, by the cause.
     */
    readonly event: "connections-returned";
    /** This host stops. */
    readonly originStops: number;
    readonly targetClosed: number;
    /** The target is no neighbour any more. */
    readonly targetGone: number;
    /** This host is no longer overloaded. */
    readonly calm: number;
    /** Peer addresses of the hosts that had taken them. */
    readonly targets: readonly string[];
    /** Connections that this host hands off at present. */
    readonly open: number;
  }
  | {
    /**
     * This host reset a connection that it had handed off: the target's
     * connection was lost, the target did not close it behind the caller's end,
     * or this host exits.
     */
    readonly event: "relay-cut";
    /** Its name, also in the `request-ended` lines of the target. */
    readonly relay: string;
    /** Peer address of the target. */
    readonly target: string;
    /** Address of the caller. */
    readonly caller: string;
    readonly cause: "target-lost" | "target-silent" | "exit";
    /** Bytes that were read from the caller, and written to it. */
    readonly callerBytes: number;
    readonly answerBytes: number;
    /** Time since the target took it, in ms. */
    readonly ageMs: number;
  }
  | {
    readonly event: "task-failed";
    readonly task: string;
    readonly reason: string;
  }
  /** Warnings of Node.js, such as of a growing number of listeners. */
  | { readonly event: "runtime-warning" } & RuntimeWarning
  /** An error that nothing caught ends the process. */
  | { readonly event: "uncaught-error" } & UncaughtError
  | { readonly event: "log-lines-dropped"; readonly lines: number };
