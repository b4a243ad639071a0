/**
 * Which upstreams are leaving: by the platform's list, or by their own word to
 * the host that owns their slots. Either is spread to all hosts as a fact, so
 * that a new owner knows it at once and few hosts need to read the list.
 *
 * What is known stays known while the list or the upstream gives no answer.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import type { ListedMachine } from "../platform/mod.ts";

/** Who said so. */
export type LeavingSource = "list" | "word";

/** What the module needs of the process. */
export interface LeavingUpstreamsHost {
  readonly clock: Clock;
  spreadFact(fact: Fact): void;
  /** Called after a change, so that slots are granted or withheld. */
  onChange(upstream: string, leaving: boolean): void;
}

/** What this host knows of leaving upstreams. */
export interface LeavingUpstreams {
  isLeaving(upstream: string): boolean;
  receiveMachineList(machines: readonly ListedMachine[]): void;
  receiveReport(upstream: string, leaving: boolean): void;
  receiveFact(fact: Fact): void;
}

const LEAVING_KEY_PREFIX = "leaving/";

/** Makes the state; no upstream is leaving. */
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
    // Seconds order the words of several hosts; a host whose clock is behind
    // still gets above what it knows.
    const seconds = Math.floor(host.clock.wallMs() / 1_000);
    const version = Math.max(seconds, (facts.get(key)?.version ?? 0) + 1);
    const fact = { key, version, value: isLeavingNow ? "1" : "0" };
    store(fact);
    host.spreadFact(fact);
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
