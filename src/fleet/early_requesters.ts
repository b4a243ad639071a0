/**
 * Which hosts asked for slots of an upstream that this host does not own yet.
 *
 * Failure: a configuration or a change of members reaches the entry hosts
 * before the new owner. What they ask comes early and is dropped, and is never
 * sent again, since an entry host sends only what changed: a request that waits
 * alone waits until its deadline beside free slots. The new owner therefore
 * asks these hosts to declare all once more.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";

/** Hosts that asked early, by upstream. */
export interface EarlyRequesters {
  add(upstream: string, entryHost: string): void;
  /** Gives the hosts that asked, and forgets them. */
  take(upstream: string): readonly string[];
}

/** Makes an empty record. */
export function createEarlyRequesters(): EarlyRequesters {
  const requesters = new Map<string, Set<string>>();
  return {
    add: (upstream, entryHost) =>
      void getOrCreate(requesters, upstream, () => new Set()).add(entryHost),
    take(upstream) {
      const hosts = [...requesters.get(upstream) ?? []];
      requesters.delete(upstream);
      return hosts;
    },
  };
}
