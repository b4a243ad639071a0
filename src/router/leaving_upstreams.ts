/**
 * Tracks which upstreams are leaving. There are two sources: the platform's
 * machine list, and the upstream's own report to the host that owns its slots.
 * Both are gossiped to all hosts as facts, so that a new owner knows them at
 * once and few hosts need to read the list.
 *
 * The last known state is kept while the list or the upstream is unavailable.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import type { ListedMachine } from "../platform/mod.ts";

/** Source of a state: the platform's list, or the upstream's own report. */
export type LeavingSource = "list" | "word";

/** Dependencies of the module, supplied by the process. */
export interface LeavingUpstreamsHost {
  readonly clock: Clock;
  gossipFact(fact: Fact): void;
  /** Called after a change, so that slots are granted or withheld. */
  onChange(upstream: string, leaving: boolean): void;
}

/** The leaving upstreams that this host knows. */
export interface LeavingUpstreams {
  isLeaving(upstream: string): boolean;
  receiveMachineList(machines: readonly ListedMachine[]): void;
  receiveReport(upstream: string, leaving: boolean): void;
  receiveFact(fact: Fact): void;
}

const LEAVING_KEY_PREFIX = "leaving/";

/** Creates a state in which no upstream is leaving. */
export function createLeavingUpstreams(
  host: LeavingUpstreamsHost,
): LeavingUpstreams {
  const facts = new Map<string, Fact>();

  function isReported(source: LeavingSource, upstream: string): boolean {
    return facts.get(getKey(source, upstream))?.value === "1";
  }

  function isLeaving(upstream: string): boolean {
    return isReported("list", upstream) || isReported("word", upstream);
  }

  function store(fact: Fact): void {
    const upstream = fact.key.split("/")[2] ?? "";
    const before = isLeaving(upstream);
    facts.set(fact.key, fact);
    const after = isLeaving(upstream);
    if (before !== after) host.onChange(upstream, after);
  }

  function report(
    source: LeavingSource,
    upstream: string,
    isLeavingNow: boolean,
  ): void {
    if (isReported(source, upstream) === isLeavingNow) return;
    const key = getKey(source, upstream);
    // Wall-clock seconds order the reports of several hosts. A host whose clock
    // is behind exceeds the highest version that it knows.
    const seconds = Math.floor(host.clock.wallMs() / 1_000);
    const version = Math.max(seconds, (facts.get(key)?.version ?? 0) + 1);
    const fact = { key, version, value: isLeavingNow ? "1" : "0" };
    store(fact);
    host.gossipFact(fact);
  }

  return {
    isLeaving,
    receiveMachineList(machines) {
      for (const machine of machines) {
        if (machine.role !== "upstream") continue;
        report("list", machine.id, machine.state === "leaving");
      }
    },
    receiveReport: (upstream, leaving) => report("word", upstream, leaving),
    receiveFact(fact) {
      if (!fact.key.startsWith(LEAVING_KEY_PREFIX)) return;
      if (fact.version <= (facts.get(fact.key)?.version ?? 0)) return;
      store(fact);
    },
  };
}

function getKey(source: LeavingSource, upstream: string): string {
  return `${LEAVING_KEY_PREFIX}${source}/${upstream}`;
}
