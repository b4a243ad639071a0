/**
 * Formats the differences between two deployments, with the values that
 * changed. A change of only comments, order or spacing is no difference.
 *
 * @module
 */

import type { Deployment } from "../types.ts";
import { toSnakeCase } from "./decode.ts";
import {
  type ConfigDifference,
  emptyDeployment,
  getDifferences,
} from "./differences.ts";

type Entry = Readonly<Record<string, unknown>>;

/** Formats the differences, one a line; `undefined` is an empty deployment. */
export function formatDifferences(
  from: Deployment | undefined,
  to: Deployment,
): readonly string[] {
  const before = from ?? emptyDeployment;
  return getDifferences(before, to).flatMap((difference) => {
    const entry = formatEntry(difference);
    switch (difference.change) {
      case "added":
        return [`+ ${entry}`];
      case "removed":
        return [`- ${entry}`];
      case "changed":
        return difference.keys.map((key) => {
          const old = formatValue(key, getEntry(before, difference)[key]);
          const now = formatValue(key, getEntry(to, difference)[key]);
          return `~ ${entry}: ${toSnakeCase(key)} ${old} -> ${now}`;
        });
    }
  });
}

/** Names the declared entry that differs, such as `team "one"`. */
export function formatEntry(difference: ConfigDifference): string {
  return `${difference.kind.replace("-", " ")} "${difference.id}"`;
}

function getEntry(
  deployment: Deployment,
  { kind, id }: ConfigDifference,
): Entry {
  const lists = {
    deployment: [deployment],
    "data-centre": deployment.dataCentres,
    team: deployment.teams,
    service: deployment.services,
    upstream: deployment.upstreams,
  };
  const entries = lists[kind] as readonly unknown[] as readonly Entry[];
  return (kind === "deployment"
    ? entries[0]
    : entries.find((each) => each["id"] === id)) ?? {};
}

function formatValue(key: string, value: unknown): string {
  // The first digits of a digest suffice to show that the key changed.
  if (key === "keyDigest") return `${String(value).slice(0, 8)}…`;
  return JSON.stringify(value) ?? "none";
}
