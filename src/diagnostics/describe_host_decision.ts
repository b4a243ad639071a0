/**
 * Describes the decisions of an entry host on itself and on the other hosts in
 * sentences for operators.
 *
 * @module
 */

import type { HostDecision } from "./host_decisions.ts";

/** Describes a decision in one sentence, without its time and host. */
export function describeHostDecision(decision: HostDecision): string {
  switch (decision.event) {
    case "intake-changed":
      return `${decision.isFull ? "Accepts no" : "Accepts"} new callers: an ` +
        `event-loop iteration took ${decision.meanTurnMs} ms on average`;
    case "service-counted":
      return `Began of what teams asked for since the start, in tokens: ` +
        decision.teams
          .map(({ team, asked, begun, repeated, answered }) =>
            `${begun} of ${asked} for ${team}, ${repeated} again, ` +
            `${answered} answered`
          )
          .join("; ") +
        `. Counts ${decision.coverage.hosts} hosts`;
    case "processor-used":
      return `Used ${decision.processorMs} ms of processor time in a second, ` +
        `${decision.passMs} ms in decisions of ticks, at a utilization of ` +
        `${decision.utilization}: accepted ${decision.accepted} connections, ` +
        `of which it handed off ${decision.handedOff} and closed ` +
        `${decision.abandoned} unread; received ${decision.received}; ended ` +
        `${decision.answered} requests with a response, ` +
        `${decision.refusedEarly} refused early, ${decision.refusedLate} ` +
        `late, ${decision.otherEnds} otherwise`;
    case "pipeline-dropped":
      return `Closed a caller's connection with ${decision.waiting} requests ` +
        `behind another one: there was no room for more`;
    case "memory-changed":
      return describeMemory(decision);
    case "member-changed":
      return `Host ${decision.member} is ${decision.state}`;
    case "connections-handed-off":
      return `Handed off ${decision.taken} connections to ` +
        `${formatHosts(decision.targets)} at a utilization of ` +
        `${decision.utilization}; ${decision.refused} refused, ` +
        `${decision.unreachable} without an answer, ${decision.open} open`;
    case "connections-received":
      return `Took ${decision.taken} connections from ` +
        `${formatHosts(decision.origins)} at a utilization of ` +
        `${decision.utilization}; ${decision.refused} refused, ` +
        `${decision.open} open`;
    case "stop-announced":
      return decision.isKnown
        ? `Told ${decision.target} of the stop, after ${decision.tookMs} ms ` +
          `and ${decision.attempts} attempts`
        : `${decision.target} did not answer when told of the stop; it is ` +
          `told again`;
    case "origin-stopping":
      return `${decision.origin} stops and relays for ${decision.leftMs} ms ` +
        `more; ${decision.open} of its connections are open here`;
    case "connections-returned":
      return `Took connections back from ${formatHosts(decision.targets)}: ` +
        `${decision.originStops} as this host stops, ` +
        `${decision.targetClosed} closed there, ` +
        `${decision.targetGone} of hosts that are gone, ` +
        `${decision.calm} as this host is calm; ${decision.open} open`;
    case "relay-cut":
      return `Reset the connection of ${decision.caller} that ` +
        `${decision.target} had taken as ${decision.relay} ` +
        `${decision.ageMs} ms ago (${decision.cause}): ` +
        `${decision.callerBytes} bytes read, ${decision.answerBytes} written`;
    case "starting":
      return `The process starts, ${decision.ageMs} ms old`;
    case "signal-received":
      return `Received ${decision.signal} at the age of ${decision.ageMs} ms`;
    case "start-waiting":
      return `The start has waited for ${decision.waitsFor} for ` +
        `${decision.waitedMs} of ${decision.limitMs} ms: "${decision.reason}"`;
    case "start-failed":
      return `The start failed after ${decision.ageMs} ms: "${decision.reason}"`;
    case "started":
      return `Started in ${decision.tookMs} ms, incarnation ` +
        `${decision.incarnation}`;
    case "drain-phase":
      return `Drain: ${decision.phase}, ${decision.inFlight} requests in flight`;
    case "stopped":
      return `Stopped after ${decision.tookMs} ms, ${decision.cut} requests cut`;
    case "settings-reloaded":
    case "settings-refused":
      return `${decision.event}: "${decision.reason}"`;
    case "task-failed":
      return `Task ${decision.task} failed: "${decision.reason}"`;
    case "runtime-warning":
      return `Node.js warned ${decision.count} times: ${decision.kind}, ` +
        `"${decision.message}"`;
    case "uncaught-error":
      return `The process ended on an uncaught error: ${decision.kind}, ` +
        `"${decision.message}"`;
    case "log-lines-dropped":
      return `${decision.lines} log lines were dropped: their reader was too slow`;
  }
}

function describeMemory(
  memory: Extract<HostDecision, { readonly event: "memory-changed" }>,
): string {
  const { residentBytes, limitBytes, requestBytes, responseBytes } = memory;
  return `Memory is ${memory.isHigh ? "near" : "no longer near"} its limit: ` +
    `${toMegabytes(residentBytes)} of ${toMegabytes(limitBytes)} MB, heap ` +
    `${toMegabytes(memory.heapUsed)}, outside of it ` +
    `${toMegabytes(memory.external)}, of it buffers ` +
    `${toMegabytes(memory.arrayBuffers)}; held: bodies ` +
    `${toMegabytes(requestBytes)}, responses ${toMegabytes(responseBytes)}; ` +
    `${memory.connections} connections, ${memory.inFlight} requests in flight`;
}

function formatHosts(hosts: readonly string[]): string {
  return hosts.length === 0 ? "no host" : hosts.join(", ");
}

function toMegabytes(bytes: number): string {
  return (bytes / 1_000_000).toFixed(1);
}
