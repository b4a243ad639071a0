/**
 * Collects the events that concern one request: its own, the grants of the
 * slots that it used, and the changes of its upstreams and hosts in the
 * meantime.
 *
 * @module
 */

import { getWallMs } from "../core/mod.ts";
import { describeEvent, formatDuration, formatTime } from "./describe.ts";
import type { EventKind, TimelineEvent } from "./types.ts";

/** The events that concern one request, in causal order. */
export interface RequestStory {
  readonly request: string;
  readonly ownEvents: readonly TimelineEvent[];
  /** The request's own events and the related ones. */
  readonly allEvents: readonly TimelineEvent[];
  /** Dispatches that used a slot which the host had kept from earlier use. */
  readonly dispatchesOnKeptSlots: ReadonlySet<TimelineEvent>;
}

/** Kinds of related events that do not contain the request's id. */
export const contextKinds: readonly EventKind[] = [
  "limit-changed",
  "owner-changed",
  "order-given",
  "member-changed",
  "config-in-force",
  "host-draining",
];

type Dispatch = Extract<TimelineEvent, { kind: "request-dispatched" }>;

/** The request ids that start with the prefix, in order of appearance. */
export function findRequests(
  events: readonly TimelineEvent[],
  idPrefix: string,
): readonly string[] {
  const found = new Set<string>();
  for (const event of events) {
    if ("request" in event && event.request.startsWith(idPrefix)) {
      found.add(event.request);
    }
  }
  return [...found];
}

/** Collects the story of a request from events that are already merged. */
export function getRequestStory(
  events: readonly TimelineEvent[],
  request: string,
): RequestStory {
  const ownEvents = events.filter((event) =>
    "request" in event && event.request === request
  );
  const dispatchesOnKeptSlots = new Set<TimelineEvent>();
  const grants = ownEvents.filter(isDispatch).flatMap((dispatch) => {
    const grant = tryGetGrant(events, dispatch, ownEvents[0]!);
    if (grant === undefined) dispatchesOnKeptSlots.add(dispatch);
    return grant ?? [];
  });
  const context = getContext(events, ownEvents);
  const all = new Set([...ownEvents, ...grants, ...context]);
  return {
    request,
    ownEvents: ownEvents,
    allEvents: events.filter((event) => all.has(event)),
    dispatchesOnKeptSlots: dispatchesOnKeptSlots,
  };
}

/** Describes a story in sentences, one a line, with a summary at the end. */
export function explainStory(story: RequestStory): readonly string[] {
  const [first] = story.ownEvents;
  if (first === undefined) return [];
  const lines = story.allEvents.map((event) => {
    const afterMs = getWallMs(event.at) - getWallMs(first.at);
    const sign = afterMs < 0 ? "-" : "+";
    const offset = `${sign}${formatDuration(Math.abs(afterMs))}`.padStart(9);
    const time = formatTime(event.at);
    const kept = story.dispatchesOnKeptSlots.has(event)
      ? ", which the host had kept while no other host wanted it"
      : "";
    return `${time} ${offset}  ${event.host}: ${describeEvent(event)}${kept}`;
  });
  return [`Request ${story.request}`, ...lines, summarize(story)];
}

function summarize(story: RequestStory): string {
  const first = story.ownEvents[0]!;
  const last = story.ownEvents.findLast((event) =>
    event.kind === "request-ended"
  );
  if (last?.kind === "request-ended") {
    const tookMs = getWallMs(last.at) - getWallMs(first.at);
    const sends = story.ownEvents.filter(isDispatch).length;
    return `It ended as ${last.outcome} after ${formatDuration(tookMs)}, ` +
      `sent to upstreams ${formatRepetitions(sends)}.`;
  }
  const refused = story.ownEvents.find((event) =>
    event.kind === "request-refused"
  );
  if (refused !== undefined) return "It was refused and did not run.";
  return `Its end is not known: it is still running, or ${first.host} is gone.`;
}

function formatRepetitions(count: number): string {
  if (count === 0) return "never";
  return count === 1 ? "once" : `${count} times`;
}

/**
 * Finds the grant that the dispatch used: the last matching one between the
 * first event of the request and the dispatch. Without one, the host used a
 * kept slot, which was granted before the request.
 */
function tryGetGrant(
  events: readonly TimelineEvent[],
  dispatch: Dispatch,
  first: TimelineEvent,
): TimelineEvent | undefined {
  return events.findLast((event) =>
    event.kind === "slot-granted" && event.at < dispatch.at &&
    event.at > first.at &&
    event.upstream === dispatch.upstream && event.team === dispatch.team &&
    event.to === dispatch.host
  );
}

/** Changes of the request's hosts and upstreams between its events. */
function getContext(
  events: readonly TimelineEvent[],
  ownEvents: readonly TimelineEvent[],
): readonly TimelineEvent[] {
  const from = ownEvents[0]?.at ?? 0;
  const to = ownEvents.at(-1)?.at ?? 0;
  const hosts = new Set(ownEvents.map((event) => event.host));
  const upstreams = new Set(
    ownEvents.map((event) => "upstream" in event ? event.upstream : ""),
  );
  return events.filter((event) => {
    if (event.at < from || event.at > to) return false;
    if (!contextKinds.includes(event.kind)) return false;
    if ("upstream" in event) return upstreams.has(event.upstream);
    return hosts.has(event.host);
  });
}

function isDispatch(event: TimelineEvent): event is Dispatch {
  return event.kind === "request-dispatched";
}
