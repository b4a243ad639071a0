/**
 * Fetches the story of one request from the hosts in two rounds: first the
 * events of the request, then the related events in their time span. A single
 * query would transfer the whole timeline of all hosts, which is gigabytes in a
 * fleet of the design size.
 *
 * @module
 */

import { getWallMs } from "../core/mod.ts";
import {
  contextKinds,
  findRequests,
  getRequestStory,
  mergeEvents,
  type RequestStory,
  type TimelineEvent,
} from "../timeline/mod.ts";
import { CommandError } from "./errors.ts";
import { fetchEvents } from "./events.ts";
import type { FleetClient } from "./fleet_client.ts";
import type { ProgramHost } from "./program.ts";

/** A story, and whether all hosts answered. */
export interface FetchedStory {
  readonly story: RequestStory;
  readonly isComplete: boolean;
}

/** Matching ids that are listed if a prefix is ambiguous. */
const MAX_LISTED_IDS = 5;

/** Fetches the story of the only request with the prefix; throws otherwise. */
export async function fetchStory(
  host: ProgramHost,
  fleet: FleetClient,
  idPrefix: string,
): Promise<FetchedStory> {
  const initial = await fetchEvents(host, fleet, { request: idPrefix });
  const found = findRequests(initial.events, idPrefix);
  const [request] = found;
  if (request === undefined || found.length > 1) {
    throw createNoUniqueMatchError(idPrefix, found);
  }
  const { events, isComplete } = await fetchContext(
    host,
    fleet,
    initial.events,
  );
  const story = getRequestStory(mergeEvents([initial.events, events]), request);
  return { story, isComplete: initial.isComplete && isComplete };
}

async function fetchContext(
  host: ProgramHost,
  fleet: FleetClient,
  requestEvents: readonly TimelineEvent[],
) {
  const span = {
    sinceMs: getWallMs(requestEvents[0]!.at),
    untilMs: getWallMs(requestEvents.at(-1)!.at) + 1,
  };
  const team =
    requestEvents.flatMap((event) => "team" in event ? [event.team] : [])[0];
  const kinds = ["slot-granted"];
  const grants = await fetchEvents(host, fleet, { ...span, team, kinds });
  const changes = await fetchEvents(host, fleet, {
    ...span,
    kinds: contextKinds,
  });
  return {
    events: mergeEvents([grants.events, changes.events]),
    isComplete: grants.isComplete && changes.isComplete,
  };
}

function createNoUniqueMatchError(
  idPrefix: string,
  found: readonly string[],
): CommandError {
  const isNone = found.length === 0;
  return new CommandError({
    exit: "notFound",
    messageName: isNone ? "requestNotFound" : "requestAmbiguous",
    args: isNone
      ? [idPrefix]
      : [idPrefix, found.slice(0, MAX_LISTED_IDS).join(", ")],
  });
}
