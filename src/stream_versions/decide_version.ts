/**
 * Decides at which software version a stream goes on that a caller takes up.
 *
 * Load: upstreams of several versions serve side by side, hosts start, and the
 * platform or other hosts can't be reached.
 *
 * Failures prevented: a host that knows one version only, because its table is
 * old or because it has just started, maybe with the whole fleet, lets a stream
 * go on that began at another; or it refuses streams although the service has
 * had one version all the time.
 *
 * @module
 */

import { type KeeperAnswer, MEMORY_MS, type VersionSource } from "./types.ts";

/** What this host knows of the versions of a service. */
export interface VersionKnowledge {
  /** Versions of the service, now or within `MEMORY_MS`. */
  readonly versions: readonly string[];
  readonly tableAgeMs: number;
  readonly hostAgeMs: number;
  /** Whether this host has read the record of versions on the platform. */
  readonly hasReadRecord: boolean;
}

/** What this host knows before it asks any other. */
export interface OwnKnowledge extends VersionKnowledge {
  /** The stream's version by this host's memory; `undefined` if unknown. */
  readonly recorded: string | undefined;
  /** Whether the caller names the request that brought the first event. */
  readonly namesRequest: boolean;
}

/** What this host knows once others were asked. */
export interface AskedKnowledge extends VersionKnowledge {
  readonly asked: number;
  readonly answers: readonly KeeperAnswer[];
}

/** The version that was decided on, or that none may be used. */
export type DecidedVersion =
  | {
    readonly kind: "found";
    readonly version: string;
    readonly from: VersionSource;
  }
  | { readonly kind: "unknown" };

/** The decision of a host that may ask others. */
export type FirstDecision =
  | DecidedVersion
  | { readonly kind: "none" }
  | { readonly kind: "ask" };

/**
 * Age of the table up to which it counts as current, in ms: a host tries to
 * confirm it several times within this time.
 */
const CURRENT_TABLE_MS = 3_000;

/** Decides by what this host knows itself. */
export function decideByOwn(known: OwnKnowledge): FirstDecision {
  const { recorded, versions, namesRequest } = known;
  if (recorded !== undefined) {
    return { kind: "found", version: recorded, from: "own" };
  }
  const [first, ...others] = versions;
  if (first === undefined) return { kind: "none" };
  if (others.length > 0 && !namesRequest) return { kind: "unknown" };
  if (others.length > 0 || !knowsAllVersions(known)) return { kind: "ask" };
  return createSingle(first);
}

/**
 * Decides by what others have answered. Where this host knows one version, it
 * needs all of them to know no other, or to know all versions itself by now.
 */
export function decideByAnswers(known: AskedKnowledge): DecidedVersion {
  const { answers, asked, versions } = known;
  for (const answer of answers) {
    if (answer.kind !== "known") continue;
    return { kind: "found", version: answer.version, from: "keeper" };
  }
  const [single, ...others] = versions;
  if (single === undefined || others.length > 0) return { kind: "unknown" };
  const agree = answers.every((each) =>
    each.kind === "single-version" && each.version === single
  );
  if (!agree) return { kind: "unknown" };
  const haveAllAnswered = asked > 0 && answers.length >= asked;
  return haveAllAnswered || knowsAllVersions(known)
    ? createSingle(single)
    : { kind: "unknown" };
}

/**
 * Whether this host knows each version at which a stream may have begun that is
 * taken up now: it has watched for as long as streams last, or has read what the
 * hosts before it saw. Without that, hosts that have all just started agree on a
 * single version although another has just gone.
 */
export function hasWatched(
  { hostAgeMs, hasReadRecord }: Pick<
    VersionKnowledge,
    "hostAgeMs" | "hasReadRecord"
  >,
): boolean {
  return hostAgeMs >= MEMORY_MS || hasReadRecord;
}

function knowsAllVersions(known: VersionKnowledge): boolean {
  return isTableCurrent(known.tableAgeMs) && hasWatched(known);
}

/** Whether a table of this age, in ms, shows what serves now. */
export function isTableCurrent(tableAgeMs: number): boolean {
  return tableAgeMs <= CURRENT_TABLE_MS;
}

function createSingle(version: string): DecidedVersion {
  return { kind: "found", version, from: "single-version" };
}
