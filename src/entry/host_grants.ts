/**
 * Joins the grants of an entry host: the upstreams that hosts own, who owns which,
 * and the exchange of requests and grants with the other hosts.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import { createGrantOwners } from "../grants/mod.ts";
import type { LoadView } from "../load/mod.ts";
import type { Member } from "../membership/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import {
  createGrantExchange,
  type GrantExchange,
  type GrantExchangeHost,
} from "./grant_exchange.ts";
import {
  createGrantUpstreams,
  type GrantUpstreams,
  type GrantUpstreamsHost,
} from "./grant_upstreams.ts";

/** Dependencies, supplied by the process. */
export interface HostGrantsHost
  extends
    Pick<GrantExchangeHost, "peerAddress" | "session" | "start" | "onEnded">,
    Pick<
      GrantUpstreamsHost,
      "tryGet" | "getMsPerToken" | "getUpstreamLimitTokens"
    > {
  readonly clock: Clock;
  readonly load: LoadView;
  /** The hosts that are alive; none unless owners admit prompts. */
  getGrantingHosts(): readonly Member[];
  isFull(host: Member): boolean;
  onFailed(reason: string): void;
}

/** The grants of an entry host. */
export interface HostGrants {
  readonly upstreams: GrantUpstreams;
  readonly exchange: GrantExchange;
}

/** Creates the grants of a host that owns nothing yet. */
export function createHostGrants(host: HostGrantsHost): HostGrants {
  const { clock, load } = host;
  const upstreams = createGrantUpstreams({
    getDigest: getNameDigest,
    tryGet: host.tryGet,
    getInFlight: load.getInFlight,
    getReadingTokens: load.getReadingTokens,
    getMsPerToken: host.getMsPerToken,
    getUpstreamLimitTokens: host.getUpstreamLimitTokens,
  });
  const exchange = createGrantExchange({
    nowMs: clock.monotonicMs,
    peerAddress: host.peerAddress,
    session: host.session,
    owners: createGrantOwners({
      nowMs: clock.monotonicMs,
      getHosts: host.getGrantingHosts,
      isFull: host.isFull,
      tryGetDataCentre: upstreams.tryGetDataCentre,
    }),
    upstreams,
    getDigest: getNameDigest,
    getServiceLevel: load.getServiceLevelByDigest,
    isUnderserved: load.isUnderservedByDigest,
    start: host.start,
    onEnded: host.onEnded,
    onFailed: host.onFailed,
  });
  return { upstreams, exchange };
}
