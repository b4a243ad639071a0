/**
 * Differences between two deployments, by file and declared entry. After a
 * conflict they show an operator what the other operator changed.
 *
 * @module
 */

import type { Deployment } from "../types.ts";

/** One declared entry that differs. */
export interface ConfigDifference {
  readonly file: string;
  readonly kind: "deployment" | "data-centre" | "team" | "service" | "upstream";
  readonly id: string;
  readonly change: "added" | "removed" | "changed";
  /** Keys whose values differ, in a changed entry; otherwise empty. */
  readonly keys: readonly string[];
}

/** Changes of two operators since the version that both started from. */
export interface ConflictDetails {
  /** From the operator's base version to the version in force. */
  readonly theirs: readonly ConfigDifference[];
  /** From the operator's base version to the requested configuration. */
  readonly yours: readonly ConfigDifference[];
  /** Entries in both lists. They need a decision; the rest can be merged. */
  readonly overlapping: readonly ConfigDifference[];
}

interface DeclaredEntry {
  readonly id: string;
}

const sections = [
  { file: "deployment.toml", kind: "data-centre", key: "dataCentres" },
  { file: "teams.toml", kind: "team", key: "teams" },
  { file: "services.toml", kind: "service", key: "services" },
  { file: "upstreams.toml", kind: "upstream", key: "upstreams" },
] as const;

/** The deployment before the first version. */
export const emptyDeployment: Deployment = {
  name: "",
  dataCentres: [],
  teams: [],
  services: [],
  upstreams: [],
};

/** Compares two deployments; the differences are in the order of the files. */
export function getDifferences(
  from: Deployment,
  to: Deployment,
): readonly ConfigDifference[] {
  const differences: ConfigDifference[] = [];
  if (from.name !== to.name) {
    differences.push({
      file: "deployment.toml",
      kind: "deployment",
      id: to.name,
      change: from.name === "" ? "added" : "changed",
      keys: ["name"],
    });
  }
  for (const { file, kind, key } of sections) {
    for (const each of compareLists(from[key], to[key])) {
      differences.push({ file, kind, ...each });
    }
  }
  return differences;
}

/** Compares the changes that two operators made to the same base version. */
export function getConflictDetails(
  base: Deployment,
  input: { readonly inForce: Deployment; readonly requested: Deployment },
): ConflictDetails {
  const theirs = getDifferences(base, input.inForce);
  const yours = getDifferences(base, input.requested);
  const overlapping = yours.filter((mine) =>
    theirs.some((other) => other.kind === mine.kind && other.id === mine.id)
  );
  return { theirs, yours, overlapping };
}

type ListDifference = Pick<ConfigDifference, "id" | "change" | "keys">;

function compareLists(
  from: readonly DeclaredEntry[],
  to: readonly DeclaredEntry[],
): readonly ListDifference[] {
  const before = new Map(from.map((each) => [each.id, each]));
  const after = new Map(to.map((each) => [each.id, each]));
  const differences: ListDifference[] = [];
  for (const [id, declared] of after) {
    const old = before.get(id);
    if (old === undefined) {
      differences.push({ id, change: "added", keys: [] });
      continue;
    }
    const keys = getChangedKeys(old, declared);
    if (keys.length > 0) differences.push({ id, change: "changed", keys });
  }
  for (const id of before.keys()) {
    if (!after.has(id)) differences.push({ id, change: "removed", keys: [] });
  }
  return differences;
}

function getChangedKeys(
  from: DeclaredEntry,
  to: DeclaredEntry,
): readonly string[] {
  const before = from as unknown as Record<string, unknown>;
  const after = to as unknown as Record<string, unknown>;
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].filter((key) =>
    JSON.stringify(before[key]) !== JSON.stringify(after[key])
  );
}
