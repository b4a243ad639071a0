/**
 * Distributes crash records between hosts as facts of the membership protocol.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact, Member } from "../membership/mod.ts";
import type { CrashRecord } from "../quarantine/mod.ts";

/**
 * Key prefix of facts about content that was running when an upstream failed.
 */
const CRASH_KEY_PREFIX = "crash/";

/** Fact versions are tenths of a second since this time, to fit in 32 bits. */
const FACT_EPOCH_MS = Date.UTC(2026, 0, 1);

/** Creates the fact that carries the record. */
export function createCrashFact(record: CrashRecord, clock: Clock): Fact {
  return {
    // The count is part of the key, since two crashes may be recorded within
    // one tick of the version.
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
 * Time for which a suspect or dead host counts as unreachable, in ms. A host
 * that is only partitioned may know crashes that this host does not. Partitions
 * between regions can last an hour, but crash records that matter are sent
 * again within minutes.
 */
const UNREACHABLE_RETENTION_MS = 10 * 60_000;

/** Hosts that became unreachable without announcing that they leave. */
export interface UnreachableHosts {
  /** Handles a change of a member's state. */
  receive(member: Member): void;
  isAnyUnreachable(): boolean;
}

/** Creates a record in which every host is reachable. */
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
