/**
 * The upstreams for which grants are asked and given, by digest.
 *
 * @module
 */

import { getInstanceName, type UpstreamEntry } from "../discovery/mod.ts";
import type { OwnedUpstream } from "../grants/mod.ts";

/** Dependencies of the upstreams. */
export interface GrantUpstreamsHost {
  getDigest(name: string): number;
  tryGet(id: string): UpstreamEntry | undefined;
  /** Requests in flight at the upstream, of all hosts. */
  getInFlight(upstream: string): number;
  /** Tokens being prefilled at the upstream, for all hosts. */
  getReadingTokens(upstream: string): number;
  /** Returns the learned limit on the tokens being prefilled there. */
  getUpstreamLimitTokens(upstream: UpstreamEntry): number;
  /** Returns the learned time to prefill a token at the upstream, in ms. */
  getMsPerToken(upstream: UpstreamEntry): number;
}

/** The upstreams as this host knows them. */
export interface GrantUpstreams {
  /** Replaces the rows of the upstream table. */
  update(entries: readonly UpstreamEntry[]): void;
  tryGetDataCentre(id: string): string | undefined;
  /** Returns the digest of the upstream's id and incarnation. */
  tryGetDigest(id: string): number | undefined;
  /** Returns the upstream with this digest. */
  tryGet(digest: number): OwnedUpstream | undefined;
}

/** Creates the upstreams of a host that knows no rows. */
export function createGrantUpstreams(host: GrantUpstreamsHost): GrantUpstreams {
  let ids: ReadonlyMap<number, string> = new Map();
  /** Looked up for each waiting prompt in each pass. */
  const digests = new WeakMap<UpstreamEntry, number>();

  function getDigest(entry: UpstreamEntry): number {
    const known = digests.get(entry);
    if (known !== undefined) return known;
    const digest = host.getDigest(getInstanceName(entry));
    digests.set(entry, digest);
    return digest;
  }

  function tryGetDigest(id: string): number | undefined {
    const entry = host.tryGet(id);
    return entry && getDigest(entry);
  }

  return {
    update(entries) {
      ids = new Map(entries.map((each) => [getDigest(each), each.id]));
    },
    tryGetDataCentre: (id) => host.tryGet(id)?.dataCentre,
    tryGetDigest,
    tryGet(digest) {
      const id = ids.get(digest);
      const entry = id === undefined ? undefined : host.tryGet(id);
      // A restarted upstream has another digest.
      if (entry === undefined || getDigest(entry) !== digest) return undefined;
      return {
        slots: entry.slots,
        msPerToken: host.getMsPerToken(entry),
        inFlight: host.getInFlight(entry.id),
        readingTokens: host.getReadingTokens(entry.id),
        limitTokens: host.getUpstreamLimitTokens(entry),
      };
    },
  };
}
