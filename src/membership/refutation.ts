/**
 * Decides how a host answers an update about itself. After a network partition
 * or a pause, other hosts may consider it dead, or they may know an earlier run
 * of it whose wall clock was ahead.
 *
 * Load: hosts that rejoin at once, each with many peers that consider it dead.
 * Failure prevented: a host that is running gets no work, since an entry that it
 * has not set itself stays in force.
 *
 * @module
 */

import type { Member } from "./types.ts";

/** What a host does about an update about itself. */
export type Refutation =
  | { readonly kind: "none" }
  /** Its entry overrides the update already; the sender has missed that. */
  | { readonly kind: "repeat" }
  | { readonly kind: "override"; readonly entry: Member };

/**
 * Revision from which on a host takes another incarnation instead. A message has
 * 32 bits for it, and a host that leaves raises it once more.
 */
const MAX_REVISION = 2 ** 32 - 3;

/**
 * Only the host itself raises its revision and incarnation, so that its own entry
 * overrides those of all others.
 */
export function decideRefutation(own: Member, update: Member): Refutation {
  if (update.incarnation > own.incarnation) {
    const incarnation = update.incarnation + 1;
    return { kind: "override", entry: { ...own, incarnation, revision: 1 } };
  }
  if (update.incarnation < own.incarnation || update.revision < own.revision) {
    return { kind: "repeat" };
  }
  const isSuspectOrDead = update.state === "dead" || update.state === "suspect";
  // A revision that this host has not set itself must be overridden even if the
  // state is better: other hosts may consider a leaving host alive.
  const isAhead = update.revision > own.revision;
  return isSuspectOrDead || isAhead
    ? { kind: "override", entry: getEntryAbove(own, update.revision) }
    : { kind: "none" };
}

function getEntryAbove(own: Member, revision: number): Member {
  return revision < MAX_REVISION
    ? { ...own, revision: revision + 1 }
    : { ...own, incarnation: own.incarnation + 1, revision: 1 };
}
