/**
 * Traces a request by its id through logged decisions: the decisions about the
 * request itself, and those about its host and its upstreams at the time.
 *
 * @module
 */

import type { Decision } from "./decisions.ts";
import { describeDecision } from "./describe_decision.ts";
import type { LoggedDecision } from "./decision_lines.ts";

/** The logged decisions that concern one request. */
export interface RequestTrace {
  /** The decisions about the request itself, in the order of time. */
  readonly ownDecisions: readonly LoggedDecision[];
  /** Related decisions: at its host, and about its upstreams at any host. */
  readonly related: readonly LoggedDecision[];
  /** Number of other requests that ended at its host, by team and outcome. */
  readonly otherEnds: ReadonlyMap<string, number>;
}

/** Decisions this long before the first line and after the last are related. */
export const CONTEXT_MS = 5_000;

/** Traces a request; `undefined` if no line names it. */
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
    ownDecisions,
    related: inWindow.filter((each) => isRelated(each, { hosts, upstreams })),
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
    case "attempt-silent":
      return subject.upstreams.has(decision.upstream);
    case "upstream-changed":
    case "upstream-cold":
    case "upstream-said":
    case "upstream-unhealthy":
    case "upstream-healthy":
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

/** Formats a trace as lines of text. */
export function formatRequestTrace(trace: RequestTrace): readonly string[] {
  const { ownDecisions, related, otherEnds } = trace;
  const startMs = ownDecisions[0]!.atMs;
  const format = (each: LoggedDecision) =>
    `${formatOffset(each.atMs - startMs)}  ${each.host}  ${
      describeDecision(each.decision)
    }`;
  const lines = ["The request:", ...ownDecisions.map(format)];
  if (related.length > 0) lines.push("Around it:", ...related.map(format));
  if (otherEnds.size > 0) {
    lines.push("Other requests at its host meanwhile:");
    for (const [what, count] of otherEnds) lines.push(`  ${count} x ${what}`);
  }
  return lines;
}

function formatOffset(ms: number): string {
  return `${ms < 0 ? "" : "+"}${ms} ms`.padStart(10);
}
