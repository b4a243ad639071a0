/**
 * How crash records travel between hosts: as facts of the membership protocol.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact, Member } from "../membership/mod.ts";
import type { CrashRecord } from "../quarantine/mod.ts";

/** Facts about content that was running when an upstream failed. */
const CRASH_KEY_PREFIX = "crash/";

/** Fact versions count tenths of a second from here, to fit in 32 bits. */
const FACT_EPOCH_MS = Date.UTC(2026, 0, 1);

/** The fact that carries the record. */
export function createCrashFact(record: CrashRecord, clock: Clock): Fact {
  return {
    // Two counts may be made within one tick of the version.
    key: `${CRASH_KEY_PREFIX}${record.fingerprint}/${record.crashes}`,
    version: Math.max(1, Math.floor((clock.wallMs() - FACT_EPOCH_MS) / 100)),
    value: JSON.stringify(record),
  };
}

/** Whether the fact carries a crash record. */
export function isCrashFact(fact: Fact): boolean {
  return fact.key.startsWith(CRASH_KEY_PREFIX);
}

/**
 * A host that is cut off may be taken for dead, and may live and know crashes
 * that this host does not. Regions lose each other for an hour now and then, but
 * what counts is sent again within minutes, in ms.
 */
const UNREACHABLE_RETENTION_MS = 10 * 60_000;

/** Hosts that went out of sight without saying that they leave. */
export interface UnreachableHosts {
  receive(member: Member): void;
  isAnyUnreachable(): boolean;
}

/** Makes a record in which every host is in sight. */
export function createUnreachableHosts(clock: Clock): UnreachableHosts {
  const unreachableSinceMs = new Map<string, number>();
  return {
    receive(member) {
      const isUnreachable = member.state === "suspect" ||
        member.state === "dead";
      if (!isUnreachable) unreachableSinceMs.delete(member.host);
      else if (!unreachableSinceMs.has(member.host)) {
        unreachableSinceMs.set(member.host, clock.monotonicMs());
      }
    },
    isAnyUnreachable() {
      const nowMs = clock.monotonicMs();
      for (const [host, since] of unreachableSinceMs) {
        if (nowMs - since < UNREACHABLE_RETENTION_MS) return true;
        unreachableSinceMs.delete(host);
      }
      return false;
    },
  };
}
