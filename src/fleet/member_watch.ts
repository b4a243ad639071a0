/**
 * Detects which hosts died, restarted or returned since the last check. The
 * slots and counters of a host that died or restarted are void; a returned host
 * still has its state.
 *
 * @module
 */

import type { Member, Membership } from "../membership/mod.ts";

/** A change of one host. */
export interface MemberChange {
  readonly kind: "died" | "restarted" | "returned";
  readonly host: string;
}

/** Compares the members with those of the previous check. */
export interface MemberWatch {
  takeChanges(): readonly MemberChange[];
}

/** Creates a watch without a previous check. */
export function createMemberWatch(
  membership: Pick<Membership, "getMembers">,
): MemberWatch {
  const previous = new Map<string, Member>();

  function tryGetChange(member: Member): MemberChange["kind"] | undefined {
    const before = previous.get(member.host);
    if (before === undefined) return undefined;
    const isDead = member.state === "dead";
    if (isDead) return before.state === "dead" ? undefined : "died";
    // The platform's list names hosts without the time of their start; their
    // incarnation is 0.
    const isRestarted = before.incarnation > 0 &&
      member.incarnation > before.incarnation;
    if (isRestarted) return "restarted";
    return before.state === "dead" ? "returned" : undefined;
  }

  return {
    takeChanges() {
      const changes: MemberChange[] = [];
      for (const member of membership.getMembers()) {
        const kind = tryGetChange(member);
        if (kind !== undefined) changes.push({ kind, host: member.host });
        previous.set(member.host, member);
      }
      return changes;
    },
  };
}
