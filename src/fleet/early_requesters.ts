/**
 * Entry hosts that requested slots of an upstream before this host knew that it
 * owns the upstream.
 *
 * A configuration or a change of members may reach the entry hosts before the
 * new owner, which then drops their requests. An entry host sends only changes,
 * so a dropped request is never repeated: a single request would wait until its
 * deadline although slots are free. The new owner therefore asks these hosts to
 * declare their complete state again.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";

/** Hosts that requested slots early, by upstream. */
export interface EarlyRequesters {
  add(upstream: string, entryHost: string): void;
  /** Removes and returns the hosts that requested slots of the upstream. */
  take(upstream: string): readonly string[];
}

/** Creates an empty record. */
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
