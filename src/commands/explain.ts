/**
 * `azurestile-explain REQUEST`: explains from the events of all hosts why a
 * request was admitted, queued, refused, placed, shifted or retried.
 *
 * @module
 */

import { explainStory } from "../timeline/mod.ts";
import { createClientFromOptions, fleetArgs } from "./options.ts";
import type { Program } from "./program.ts";
import { fetchStory } from "./request_story.ts";

const args = {
  request: {
    type: "positional",
    required: true,
    description: 'The id in the response\'s header "azurestile-request", ' +
      "or a prefix of it",
  },
  ...fleetArgs,
} as const;

/** The program. */
export const explainProgram: Program<typeof args> = {
  name: "azurestile-explain",
  description: "Explains the decisions about a request",
  args,
  exits: ["notFound", "partial", "unreachable", "keyRefused"],
  async run(options, host) {
    const fleet = createClientFromOptions(options, host);
    const { story, isComplete } = await fetchStory(
      host,
      fleet,
      options.request,
    );
    for (const line of explainStory(story)) host.print(line);
    return isComplete ? "ok" : "partial";
  },
};
