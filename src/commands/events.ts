/**
 * Fetches the events of all hosts.
 *
 * @module
 */

import type { TimelineAnswer } from "../router/operator_types.ts";
import {
  type EventFilter,
  mergeEvents,
  type TimelineEvent,
  toQuery,
} from "../timeline/mod.ts";
import type { FleetClient, HostAnswer } from "./fleet_client.ts";
import type { ProgramHost } from "./program.ts";

/** Fetches the events of every host; prints which hosts did not answer. */
export async function fetchEvents(
  host: ProgramHost,
  fleet: FleetClient,
  filter: EventFilter,
): Promise<{ events: readonly TimelineEvent[]; isComplete: boolean }> {
  const answers = await fleet.queryAllHosts<TimelineAnswer>(
    `/ops/timeline?${toQuery(filter)}`,
  );
  return {
    events: mergeAnswers(answers),
    isComplete: reportSilentHosts(host, answers),
  };
}

/** Merges the events of all answers in causal order. */
export function mergeAnswers(
  answers: readonly HostAnswer<TimelineAnswer>[],
): readonly TimelineEvent[] {
  return mergeEvents(
    answers.map((each) => each.kind === "answered" ? each.value.events : []),
  );
}

/** Prints the hosts that did not answer; returns whether all answered. */
function reportSilentHosts(
  { printError }: ProgramHost,
  answers: readonly HostAnswer<unknown>[],
): boolean {
  const silent = answers.flatMap((each) =>
    each.kind === "silent" ? [`${each.host}: ${each.reason}`] : []
  );
  for (const line of silent) printError(`No answer from ${line}`);
  return silent.length === 0;
}
