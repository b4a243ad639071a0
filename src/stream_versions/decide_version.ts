/**
 * Decides at which software version a stream goes on that a caller takes up.
 *
 * Load: upstreams of several versions serve side by side, hosts start, are cut
 * off or stand still, and the platform or other hosts can't be reached.
 *
 * Failures prevented: a host that knows one version only, because it has not
 * heard of another yet, lets a stream go on that began there; or it refuses
 * streams although the service has had one version all the time.
 *
 * A single version is certain by the order of events, whatever the clocks say.
 * The upstream of the first event was registered before the caller's request
 * came here, so that a read of the platform which began after that shows its
 * version, among the upstreams or on record. Where the platform can't be read,
 * each host that may have begun the stream has to say, after the request came,
 * that it knows no other version.
 *
 * @module
 */

import {
  type Certainty,
  type KeeperAnswer,
  MEMORY_MS,
  type VersionSource,
} from "./types.ts";

/** What this host knows before it reads the platform or asks other hosts. */
export interface OwnKnowledge {
  /** Versions of the service, now or within `MEMORY_MS`. */
  readonly versions: readonly string[];
  /** The stream's version by this host's memory; `undefined` if unknown. */
  readonly recorded: string | undefined;
  /** Whether the caller names the request that brought the first event. */
  readonly namesRequest: boolean;
}

/** For how long a host has seen which versions there are. */
export interface Watch {
  readonly hostAgeMs: number;
  /** Whether this host has read the record of versions on the platform. */
  readonly hasReadRecord: boolean;
}

/** What this host knows once others were asked. */
export interface AskedKnowledge extends Watch {
  readonly versions: readonly string[];
  /** Number of hosts that were asked. */
  readonly asked: number;
  readonly answers: readonly KeeperAnswer[];
}

/** The version that was decided on, or that none may be used. */
export type DecidedVersion =
  | {
    readonly kind: "found";
    readonly version: string;
    readonly from: VersionSource;
    readonly confirmedBy?: Certainty;
  }
  | { readonly kind: "unknown" };

/**
 * The decision of a host that may ask others about the stream, or confirm that
 * the version is the only one.
 */
export type FirstDecision =
  | DecidedVersion
  | { readonly kind: "none" }
  | { readonly kind: "ask" }
  | { readonly kind: "confirm"; readonly version: string };

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
  if (others.length === 0) return { kind: "confirm", version: first };
  return { kind: namesRequest ? "ask" : "unknown" };
}

/** Decides once the platform was read after the request came. */
export function decideByRead(
  known: OwnKnowledge,
): Exclude<FirstDecision, { readonly kind: "confirm" }> {
  const decided = decideByOwn(known);
  return decided.kind === "confirm"
    ? createSingle(decided.version, "platform")
    : decided;
}

/**
 * Decides by what others have answered. Where this host knows one version, one
 * of them has to have confirmed it, or all have to know no other.
 */
export function decideByAnswers(known: AskedKnowledge): DecidedVersion {
  const { answers, asked, versions } = known;
  for (const answer of answers) {
    if (answer.kind !== "known") continue;
    return { kind: "found", version: answer.version, from: "keeper" };
  }
  const [single, ...others] = versions;
  if (single === undefined || others.length > 0) return { kind: "unknown" };
  const differs = answers.some((each) =>
    each.kind !== "not-known" && each.version !== single
  );
  if (differs) return { kind: "unknown" };
  if (answers.some((each) => each.kind === "confirmed-version")) {
    return createSingle(single, "other-host");
  }
  const haveAllAgreed = asked > 0 && answers.length >= asked &&
    answers.every((each) => each.kind === "single-version");
  return haveAllAgreed && hasWatched(known)
    ? createSingle(single, "all-hosts")
    : { kind: "unknown" };
}

/**
 * Whether this host knows each version at which a stream may have begun that is
 * taken up now: it has watched for as long as streams last, or has read what the
 * hosts before it saw. Without that, hosts that have all just started agree on a
 * single version although another has just gone.
 */
export function hasWatched({ hostAgeMs, hasReadRecord }: Watch): boolean {
  return hostAgeMs >= MEMORY_MS || hasReadRecord;
}

/** Whether a table of this age, in ms, is taken to show what serves now. */
export function isTableCurrent(tableAgeMs: number): boolean {
  return tableAgeMs <= CURRENT_TABLE_MS;
}

function createSingle(
  version: string,
  confirmedBy: Certainty,
): Extract<DecidedVersion, { readonly kind: "found" }> {
  return { kind: "found", version, from: "single-version", confirmedBy };
}
