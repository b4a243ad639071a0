/**
 * From a request's id to its cause: its own lines, and what its host and its
 * upstreams went through around it.
 *
 * @module
 */

import type { Decision, Inputs, QueueInputs } from "./decisions.ts";
import type { LoggedDecision } from "./decision_lines.ts";

/** The story of a request. */
export interface RequestTrace {
  /** The request's own lines, in order of time. */
  readonly ownDecisions: readonly LoggedDecision[];
  /** What bears on it: at its host, and of its upstreams at any host. */
  readonly relatedDecisions: readonly LoggedDecision[];
  /** Ends of other requests at its host around it, by team and outcome. */
  readonly otherEnds: ReadonlyMap<string, number>;
}

/** What is around a request: so long before its first line, after its last. */
export const CONTEXT_MS = 5_000;

/** Traces the request; `undefined` when no line names it. */
export function tryTraceRequest(
  logged: readonly LoggedDecision[],
  request: string,
  contextMs: number = CONTEXT_MS,
): RequestTrace | undefined {
  const ownDecisions = logged.filter(({ decision }) =>
    "request" in decision && decision.request === request
  );
  const [first] = ownDecisions;
  if (first === undefined) return undefined;
  const hosts = new Set(ownDecisions.map((each) => each.host));
  const upstreams = new Set(
    ownDecisions.flatMap(({ decision }) => tryGetUpstream(decision) ?? []),
  );
  const fromMs = first.atMs - contextMs;
  const toMs = ownDecisions.at(-1)!.atMs + contextMs;
  const inWindow = logged.filter((each) =>
    each.atMs >= fromMs && each.atMs <= toMs && !ownDecisions.includes(each)
  );
  const atSameHosts = inWindow.filter((each) => hosts.has(each.host));
  return {
    ownDecisions: ownDecisions,
    relatedDecisions: inWindow.filter((each) =>
      isRelated(each, { hosts, upstreams })
    ),
    otherEnds: countByTeamAndOutcome(atSameHosts),
  };
}

function tryGetUpstream(decision: Decision): string | undefined {
  return "upstream" in decision ? decision.upstream : undefined;
}

function isRelated(
  { host, decision }: LoggedDecision,
  subject: {
    readonly hosts: ReadonlySet<string>;
    readonly upstreams: ReadonlySet<string>;
  },
): boolean {
  const isAtHost = subject.hosts.has(host);
  switch (decision.event) {
    case "attempt-started":
    case "request-ended":
      return false;
    case "attempt-failed":
      return subject.upstreams.has(decision.upstream);
    case "upstream-changed":
    case "upstream-said":
      return isAtHost || subject.upstreams.has(decision.upstream);
    default:
      return isAtHost;
  }
}

function countByTeamAndOutcome(
  logged: readonly LoggedDecision[],
): ReadonlyMap<string, number> {
  const ends = new Map<string, number>();
  for (const { decision } of logged) {
    if (decision.event !== "request-ended") continue;
    const key = `${decision.team ?? "no team"}: ${decision.outcome}`;
    ends.set(key, (ends.get(key) ?? 0) + 1);
  }
  return new Map([...ends].sort(([, a], [, b]) => b - a));
}

/** The trace as lines for people. */
export function formatRequestTrace(trace: RequestTrace): readonly string[] {
  const { ownDecisions: own, relatedDecisions: around, otherEnds: ends } =
    trace;
  const startMs = own[0]!.atMs;
  const format = (each: LoggedDecision) =>
    `${formatOffset(each.atMs - startMs)}  ${each.host}  ${
      describeDecision(each.decision)
    }`;
  const lines = ["The request:", ...own.map(format)];
  if (around.length > 0) lines.push("Around it:", ...around.map(format));
  if (ends.size > 0) {
    lines.push("Other requests at its host meanwhile:");
    for (const [what, count] of ends) lines.push(`  ${count} x ${what}`);
  }
  return lines;
}

function formatOffset(ms: number): string {
  return `${ms < 0 ? "" : "+"}${ms} ms`.padStart(10);
}

/** The decision as one sentence without time and host. */
export function describeDecision(decision: Decision): string {
  switch (decision.event) {
    case "attempt-started":
      return `Sent to ${decision.upstream} (attempt ${decision.attempt}) after ` +
        `${decision.waitedMs} ms here; ${decision.inFlight} of this host's ` +
        `requests were in flight there${
          formatPrefill(decision.readingTokens)
        }; ${formatInputs(decision.inputs)}`;
    case "attempt-failed":
      return `${decision.upstream} gave no answer: ${decision.kind}, ` +
        `"${decision.reason}"; next: ${decision.next}${
          decision.because === undefined ? "" : `, since "${decision.because}"`
        }`;
    case "request-ended":
      return `Ended as ${decision.outcome} with status ${decision.status} ` +
        `after ${decision.totalMs} ms and ${decision.attempts} attempts: ` +
        `"${decision.reason}"${formatRetry(decision.retryAfterMs)}${
          formatQueue(decision.queue)
        }; ${formatInputs(decision.inputs)}`;
    case "reading-limit-changed":
      return `An upstream of ${decision.service} may have ` +
        `${decision.limitTokens} tokens to read, of ${decision.inTimeTokens} ` +
        `that it reads in time; ${decision.lateShare} of the answers paused ` +
        `too long`;
    case "intake-changed":
      return `${decision.isFull ? "Takes no" : "Takes"} new callers: a turn ` +
        `took ${decision.meanTurnMs} ms on average`;
    case "config-in-force":
      return `Configuration ${decision.version} in force, from ${decision.from}`;
    case "platform-era-changed":
      return `The platform came back from a copy: ${decision.table} at version ` +
        `${decision.platformVersion} of era ${decision.era}, after ` +
        `${decision.lastVersion} of era ${decision.lastEra}; from ` +
        `${decision.from}`;
    case "platform-era-unnamed":
    case "platform-era-named":
      return `${decision.event}: "${decision.text ?? ""}"`;
    case "upstream-changed":
      return `Upstream ${decision.upstream} of ${decision.service}: ` +
        `${decision.change}, from ${decision.from} (platform's version ` +
        `${decision.platformVersion})`;
    case "upstream-said":
      return describeUpstreamSignal(decision);
    case "member-changed":
      return `Host ${decision.member} is ${decision.state}`;
    case "table-reader-changed":
      return `${decision.reads ? "Reads" : "Does not read"} ` +
        `${decision.table} at the platform, ${decision.because}: ` +
        `${decision.passedOver} hosts passed over, last confirmed ` +
        `${decision.unconfirmedMs} ms before`;
    case "table-not-fetched":
      return `${decision.peer} did not give its newer ${decision.table} ` +
        `within ${decision.tookMs} ms`;
    case "platform-lost":
    case "platform-regained":
      return `${decision.event} for ${decision.table}: "${decision.reason}"`;
    case "row-unreadable":
      return `Row "${decision.key}" of ${decision.table} can't be read: ` +
        `"${decision.reason}"`;
    case "content-suspected":
      return `A content is suspected, with ${decision.crashes} crashes`;
    case "started":
      return `Started, incarnation ${decision.incarnation}`;
    case "drain-phase":
      return `Stopping: ${decision.phase}, ${decision.inFlight} in flight`;
    case "stopped":
      return `Stopped after ${decision.tookMs} ms, ${decision.cut} cut`;
    case "settings-reloaded":
    case "settings-refused":
      return `${decision.event}: "${decision.reason}"`;
    case "task-failed":
      return `Task ${decision.task} failed: "${decision.reason}"`;
    case "log-lines-dropped":
      return `${decision.lines} lines were lost here: the reader fell behind`;
  }
}

function describeUpstreamSignal(
  said: Extract<Decision, { readonly event: "upstream-said" }>,
): string {
  const from = `Upstream ${said.upstream} with status ${said.status}`;
  switch (said.said) {
    case "leaving":
      return `${from}: it leaves`;
    case "rest":
      return `${from}: no requests of this host for ${said.restMs} ms`;
    case "unreadable-rest":
      return `${from}: a rest that can't be read, "${said.text}"`;
  }
}

function formatPrefill(readingTokens: number | undefined): string {
  if (readingTokens === undefined) return "";
  return `, which reads ${readingTokens} tokens of it`;
}

function formatRetry(retryAfterMs: number | undefined): string {
  if (retryAfterMs === undefined) return "";
  return `; told to come back in ${Math.round(retryAfterMs)} ms`;
}

const priorityTexts = [
  "yielded to none",
  "was sparse",
  "was of a team over its share",
] as const;

function formatQueue(queue: QueueInputs | undefined): string {
  if (queue === undefined) return "";
  return `; of ${queue.waiting} that waited it ${
    priorityTexts[queue.yields]
  } ` +
    `(${queue.shareUsed} of the share used), for ${formatCapacity(queue)}`;
}

function formatCapacity(queue: QueueInputs): string {
  const { backlog, load, upstream, limitTokens } = queue;
  if (backlog !== undefined) {
    return `a place behind ${backlog.waiting} of its team and route, of which ` +
      `${backlog.startedPerSecond} start in a second`;
  }
  if (load === undefined) return "no upstream to wait for";
  const room = `${upstream} with ${load.inFlight} of ${load.slots} slots in ` +
    `use and ${load.readingTokens} of ${limitTokens} tokens to read`;
  if (load.underservedElsewhere === 0) return room;
  return `${room}, left to ${load.underservedElsewhere} of underserved teams`;
}

function formatInputs(inputs: Inputs): string {
  return `configuration ${inputs.configVersion} and upstreams ` +
    `${inputs.upstreamsVersion}, confirmed ${inputs.confirmedMsAgo} ms before`;
}
