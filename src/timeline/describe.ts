/**
 * Describes events in sentences for operators.
 *
 * @module
 */

import { getWallMs } from "../core/mod.ts";
import type { TimelineEvent } from "./types.ts";

/** Describes an event in one sentence, without its time and host. */
export function describeEvent(event: TimelineEvent): string {
  switch (event.kind) {
    case "request-admitted":
      return `Admitted a request of ${event.team} for ${event.service}: ` +
        `the team had ${formatRequestCount(event.queued)} queued here, below ` +
        "its limit, and the expected wait fitted the deadline";
    case "request-refused":
      return `Refused a request of ${event.team} as not run: ` +
        `${describeRefusal(event.reason)}; the caller may retry in ` +
        formatDuration(event.retryAfterMs);
    case "slot-granted":
      return `Granted a slot of ${event.upstream} to ${event.team} at ` +
        `${event.to}: of the waiting teams it had the least service for its ` +
        `weight, with a counter of ${formatNumber(event.counter)}`;
    case "request-dispatched":
      return `Sent the request of ${event.team} to ${event.upstream} after ` +
        `it had waited ${formatDuration(event.waitedMs)} for a slot`;
    case "request-shifted":
      return `Shifted a request of ${event.team}: ${event.reason}`;
    case "request-retried":
      return `Allowed a retry of a request of ${event.team}` +
        `${event.upstream === "" ? "" : ` after ${event.upstream}`}: ` +
        event.reason;
    case "stream-resumed":
      return `Resumed the stream of ${event.team} on ${event.upstream} from ` +
        `event ${event.offset}`;
    case "request-ended":
      return `Ended a request of ${event.team} as ${event.outcome}, at a ` +
        `cost of ${formatNumber(event.cost)}` +
        (event.reason === "" ? "" : `: ${event.reason}`);
    case "claim-decided":
      return `The request of ${event.team} may run at most once: ` +
        describeClaim(event.decision);
    case "limit-changed":
      return `Changed the limit of ${event.upstream} to ${event.limit} ` +
        `requests in flight: ${event.reason}`;
    case "member-changed":
      return `Recorded host ${event.member} as ${event.state}`;
    case "owner-changed":
      return `Recorded ${event.owner} as the owner of the slots of ` +
        event.upstream;
    case "config-in-force":
      return `Put version ${event.version} of the configuration in force ` +
        `(${event.digest.slice(0, 8)})`;
    case "content-quarantined":
      return `Quarantined content ${event.fingerprint.slice(0, 8)} after ` +
        `${event.crashes} crashes`;
    case "order-given":
      return `Order "${event.order}" for ${event.upstream} with fencing ` +
        `token ${event.token}: ${event.decision}`;
    case "host-draining":
      return `Draining: ${describeDrain(event.reason)}`;
    default:
      // All kinds are handled, but a host that runs a newer program may send an
      // unknown one, and the other events must still be shown.
      event satisfies never;
      return describeFields(event);
  }
}

/** Formats an event as one line with time, host, kind and sentence. */
export function formatEvent(event: TimelineEvent): string {
  const time = formatTime(event.at);
  const request = tryGetRequest(event);
  const id = request === undefined ? "" : ` [${request.slice(0, 8)}]`;
  const host = event.host.padEnd(10);
  return `${time}  ${host}  ${event.kind.padEnd(18)}  ` +
    `${describeEvent(event)}${id}`;
}

/** Formats the wall time of a timestamp as HH:MM:SS.mmm, in UTC. */
export function formatTime(stamp: number): string {
  return new Date(getWallMs(stamp)).toISOString().slice(11, 23);
}

/** The id of the request that the event is about, if any. */
export function tryGetRequest(event: TimelineEvent): string | undefined {
  return "request" in event ? event.request : undefined;
}

/** Formats a duration in milliseconds, or from 10 s up in seconds. */
export function formatDuration(ms: number): string {
  return ms < 10_000 ? `${Math.round(ms)} ms` : `${formatNumber(ms / 1000)} s`;
}

function describeRefusal(reason: string): string {
  switch (reason) {
    case "draining":
      return "the host is draining";
    case "queue-full":
      return "the team's queue at this host is full";
    case "host-full":
      return "all queues of this host together are full";
    case "deadline-unreachable":
      return "the expected wait is longer than its deadline allows";
    default:
      return reason;
  }
}

function describeClaim(decision: string): string {
  switch (decision) {
    case "claimed":
      return "claimed its idempotency key, so that only this host runs it";
    case "ended":
      return "the result recorded for its idempotency key is the response";
    case "under-way":
      return "another attempt of it holds the claim, so that this one does not run";
    case "unknown":
      return "an earlier attempt may have run, so that it does not run again";
    case "other-content":
      return "its idempotency key was used for other content";
    case "unavailable":
      return "claims can't be recorded now, so that it did not run";
    default:
      return decision;
  }
}

function describeDrain(phase: string): string {
  switch (phase) {
    case "leaving":
      return "announced to the other hosts; new requests are still served";
    case "refusing":
      return "refuses new requests and completes the admitted ones";
    case "giving-up":
      return "rejects the requests that are still queued, as not run";
    case "ended":
      return "ended";
    default:
      return phase;
  }
}

/** Lists the fields of an event whose kind this program does not know. */
function describeFields(event: object): string {
  const fields = Object.entries(event)
    .filter(([key]) => !["kind", "at", "host", "request"].includes(key));
  return fields.map(([key, value]) => `${key} ${value}`).join(", ");
}

function formatRequestCount(count: number): string {
  if (count === 0) return "no other request";
  return count === 1 ? "1 request" : `${count} requests`;
}

function formatNumber(value: number): string {
  return String(Math.round(value * 10) / 10);
}
