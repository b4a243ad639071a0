/**
 * What happened to the other hosts since it was last asked: some died or were
 * restarted, so that what they held is void; some came back as they were.
 *
 * @module
 */

import type { Member, Membership } from "../membership/mod.ts";

/** What happened to a host. */
export interface MemberChange {
  readonly kind: "died" | "restarted" | "returned";
  readonly host: string;
}

/** Compares the view with the one before. */
export interface MemberWatch {
  takeChanges(): readonly MemberChange[];
}

/** Makes a watch that has seen nobody. */
export function createMemberWatch(
  membership: Pick<Membership, "getMembers">,
): MemberWatch {
  const previous = new Map<string, Member>();

  function tryGetChange(member: Member): MemberChange["kind"] | undefined {
    const before = previous.get(member.host);
    if (before === undefined) return undefined;
    const isDead = member.state === "dead";
    if (isDead) return before.state === "dead" ? undefined : "died";
    // The platform's list names hosts without their start.
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
