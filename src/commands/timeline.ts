/**
 * `azurestile-timeline`: prints the events of all processes in causal order, as
 * text or JSON lines, or draws them as an SVG picture.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import type { TimelineAnswer } from "../router/operator_types.ts";
import {
  createLanesSvg,
  type EventFilter,
  formatEvent,
  matchesFilter,
  mergeEvents,
  type TimelineEvent,
  toQuery,
} from "../timeline/mod.ts";
import { createUsageError } from "./errors.ts";
import { fetchEvents, mergeAnswers } from "./events.ts";
import type { FleetClient } from "./fleet_client.ts";
import { createClientFromOptions, fleetArgs, jsonArg } from "./options.ts";
import type { Program, ProgramHost } from "./program.ts";
import { fetchStory } from "./request_story.ts";

const args = {
  ...fleetArgs,
  request: {
    type: "string",
    valueHint: "ID",
    description: "Only this request, by its id or a prefix, and related events",
  },
  team: { type: "string", description: "Only this team" },
  upstream: { type: "string", description: "Only this upstream" },
  host: { type: "string", description: "Only events of this host" },
  kind: {
    type: "string",
    valueHint: "KIND,KIND",
    description: "Only these kinds, such as request-refused",
  },
  since: {
    type: "string",
    valueHint: "TIME",
    description:
      "Only from this time: an age (30s, 10m, 2h) or 2026-01-31T10:00:00Z",
  },
  until: {
    type: "string",
    valueHint: "TIME",
    description: "Only before this time",
  },
  follow: { type: "boolean", description: "Keep printing new events" },
  ...jsonArg,
  svg: {
    type: "string",
    valueHint: "FILE",
    description: "Write a picture with a lane for each process",
  },
} as const;

const FOLLOW_PERIOD_MS = 1_000;
const UNIT_MS: Readonly<Record<string, number>> = {
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

/** The program. */
export const timelineProgram: Program<typeof args> = {
  name: "azurestile-timeline",
  description: "Shows the events of all hosts in causal order",
  args,
  exits: ["notFound", "partial", "unreachable", "keyRefused"],
  async run(options, host) {
    const filter: EventFilter = {
      team: options.team,
      upstream: options.upstream,
      host: options.host,
      kinds: options.kind?.split(","),
      sinceMs: readTime("since", options.since),
      untilMs: readTime("until", options.until),
    };
    const fleet = createClientFromOptions(options, host);
    const format = options.json ? formatJson : formatEvent;
    const print = (events: readonly TimelineEvent[]) => {
      for (const event of events) host.print(format(event));
    };
    if (options.follow) {
      const followed = { ...filter, request: options.request };
      return await followEvents(host, fleet, { filter: followed, print });
    }
    const { events, isComplete } = await getEvents(host, fleet, {
      request: options.request,
      filter,
    });
    if (options.svg === undefined) print(events);
    else {
      writeSvg(options.svg, events, options.request);
      host.print(`Wrote ${events.length} events to ${options.svg}`);
    }
    return isComplete ? "ok" : "partial";
  },
};

async function getEvents(
  host: ProgramHost,
  fleet: FleetClient,
  { request, filter }: { request: string | undefined; filter: EventFilter },
) {
  if (request === undefined) return await fetchEvents(host, fleet, filter);
  const { story, isComplete } = await fetchStory(host, fleet, request);
  const events = story.allEvents.filter((event) =>
    matchesFilter(event, filter)
  );
  return { events, isComplete };
}

/**
 * Prints new events continuously. An event is held back until every host that
 * answers has reported all earlier events. Otherwise an effect could be printed
 * before its cause, which another host reports a moment later.
 */
async function followEvents(
  host: ProgramHost,
  fleet: FleetClient,
  { filter, print }: {
    filter: EventFilter;
    print: (events: readonly TimelineEvent[]) => void;
  },
): Promise<never> {
  const cursors = new Map<string, number>();
  let pending: readonly TimelineEvent[] = [];
  while (true) {
    const members = await fleet.getMembers();
    const answers = await Promise.all(members.map((member) => {
      const after = cursors.get(member.host) ?? 0;
      const query = toQuery({ ...filter, after });
      return fleet.queryHost<TimelineAnswer>(member, `/ops/timeline?${query}`);
    }));
    let completeUntil = Infinity;
    for (const answer of answers) {
      if (answer.kind === "silent") continue;
      cursors.set(answer.host, answer.value.until);
      completeUntil = Math.min(completeUntil, answer.value.until);
    }
    const merged = mergeEvents([pending, mergeAnswers(answers)]);
    print(merged.filter((event) => event.at <= completeUntil));
    pending = merged.filter((event) => event.at > completeUntil);
    await host.sleep(FOLLOW_PERIOD_MS);
  }
}

function formatJson(event: TimelineEvent): string {
  return JSON.stringify(event);
}

function writeSvg(
  file: string,
  events: readonly TimelineEvent[],
  request: string | undefined,
): void {
  const title = request === undefined
    ? `Timeline, ${events.length} events`
    : `Request ${request}`;
  writeFileSync(file, createLanesSvg(events, title));
}

/** Reads an age or a date as milliseconds since the epoch. */
function readTime(name: string, text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const age = /^(\d+)([smh])$/.exec(text);
  if (age !== null) return Date.now() - Number(age[1]) * UNIT_MS[age[2]!]!;
  const ms = Date.parse(text);
  if (!Number.isNaN(ms)) return ms;
  const allowed = "an age as 30s, 10m or 2h, or a date as 2026-01-31T10:00:00Z";
  throw createUsageError("optionNotAllowed", [name, text, allowed]);
}
