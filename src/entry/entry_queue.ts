/**
 * Creates the prompt queue of an entry host from the parts that know the load,
 * the limits and the warm-up of upstreams.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { UpstreamEntry } from "../discovery/mod.ts";
import type { LoadView } from "../load/mod.ts";
import {
  createPromptQueue,
  getLoadFunctions,
  type PromptGrants,
  type PromptQueue,
  type PromptQueueHost,
} from "../queue/mod.ts";
import type { WarmUps } from "../warmup/mod.ts";

/** Dependencies of the queue. */
export interface EntryQueueHost
  extends
    Pick<PromptQueueHost, "getLimitTokens" | "getProcessorUse" | "random"> {
  readonly clock: Clock;
  readonly load: LoadView;
  readonly grants: PromptGrants;
  tryGetUpstream(id: string): UpstreamEntry | undefined;
  readonly getWarmUpAllowance: WarmUps["getAllowance"];
}

/** Creates an empty queue. */
export function createEntryQueue(host: EntryQueueHost): PromptQueue {
  const { load } = host;
  return createPromptQueue({
    ...getLoadFunctions(load),
    grants: host.grants,
    nowMs: host.clock.monotonicMs,
    getLoad(upstream) {
      const entry = host.tryGetUpstream(upstream);
      const allowance = entry && host.getWarmUpAllowance(entry);
      return {
        slots: entry?.slots ?? 0,
        inFlight: load.getInFlight(upstream),
        readingTokens: load.getReadingTokens(upstream),
        underservedElsewhere: load.getUnderservedElsewhere(upstream),
        underservedTokens: load.getUnderservedTokens(upstream),
        yieldingElsewhere: load.getYieldingElsewhere(upstream),
        isWarmUpSpent: allowance === "later" || allowance === "none",
      };
    },
    getLimitTokens: host.getLimitTokens,
    random: host.random,
    getProcessorUse: host.getProcessorUse,
    onStart(prompt, upstream, readingTokens) {
      load.beginPrefill(upstream, readingTokens);
      // A request that is tried again was asked for once.
      const record = prompt.isRepeated ? load.recordRepeated : load.recordBegun;
      record(prompt.team, prompt.serviceTokens);
    },
  });
}
