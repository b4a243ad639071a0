/**
 * Reports in which hosts tell each other how they use the upstreams.
 *
 * @module
 */

import type { PacingStats } from "../pacing/mod.ts";

/** Present use of one upstream. */
export interface UpstreamUse {
  /** Digest of the upstream's id. */
  readonly upstream: number;
  readonly inFlight: number;
  /** Prompt tokens being prefilled there, weighted by the cost of attention. */
  readonly readingTokens: number;
  /** Prompts of underserved teams that wait for it. */
  readonly underserved: number;
  /** Tokens that these have to prefill there; 0 from earlier versions. */
  readonly underservedTokens: number;
  /**
   * Tokens that prompts which yield to underserved teams wait to prefill there;
   * 0 from earlier versions.
   */
  readonly yieldingTokens: number;
}

/** Prompts that wait for an upstream at a host. */
export type WaitingLoad = Pick<
  UpstreamUse,
  "underserved" | "underservedTokens" | "yieldingTokens"
>;

/** The load of a host at which no prompt waits for the upstream. */
export const NOTHING_WAITING: WaitingLoad = {
  underserved: 0,
  underservedTokens: 0,
  yieldingTokens: 0,
};

/** Service that a team asked for and that was begun, in tokens per second. */
export interface TeamUse {
  /** Digest of the team's name. */
  readonly team: number;
  readonly asked: number;
  readonly begun: number;
}

/** What hosts have learned about the upstreams of one service, for pacing. */
export interface LearnedOfService extends PacingStats {
  /** Digest of the service's name. */
  readonly service: number;
}

/** A host that exchanges load reports. */
export interface LoadPeer {
  readonly peerAddress: string;
  readonly dataCentre: string;
}

/** Which hosts a report covers. */
export type LoadScope = "host" | "data-centre" | "fleet";

/** A host's report that an aggregate contains. */
export interface IncludedReport {
  /** Digest of the host's peer address. */
  readonly host: number;
  readonly sequence: number;
}

/** The parts of a report that are summed. */
export type LoadContent = Pick<
  LoadReport,
  "upstreams" | "teams" | "learned" | "hosts"
>;

/** A load report as sent between hosts. */
export interface LoadReport {
  /** Peer address of the sender. */
  readonly from: string;
  /** Increases from report to report while the sender's process runs. */
  readonly sequence: number;
  readonly upstreams: readonly UpstreamUse[];
  readonly teams: readonly TeamUse[];
  readonly learned: readonly LearnedOfService[];
  /** Number of hosts whose use it covers; 0 from earlier versions. */
  readonly hosts: number;
  readonly scope: LoadScope;
  /** Data centre of the sender. */
  readonly dataCentre: string;
  /**
   * In an aggregate over the fleet: the receivers' own reports that it
   * contains.
   */
  readonly included: readonly IncludedReport[];
}
