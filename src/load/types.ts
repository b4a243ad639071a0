/**
 * What hosts tell each other of their use of the upstreams.
 *
 * @module
 */

import type { PacingStats } from "../pacing/mod.ts";

/** What is used of an upstream now. */
export interface UpstreamUse {
  /** Digest of the upstream's id. */
  readonly upstream: number;
  readonly inFlight: number;
  /** Tokens of the prompts being read there, attention counted. */
  readonly readingTokens: number;
  /** Prompts that wait for it, of underserved teams. */
  readonly underserved: number;
}

/** What hosts were asked for by a team and gave it, in tokens a second. */
export interface TeamUse {
  /** Digest of the team's name. */
  readonly team: number;
  readonly asked: number;
  readonly begun: number;
}

/** What hosts have learned of a service's upstreams. */
export interface LearnedOfService extends PacingStats {
  /** Digest of the service's name. */
  readonly service: number;
}

/** Whose use a report adds up. */
export type LoadScope = "host" | "data-centre" | "fleet";

/** A host's report that a sum contains. */
export interface IncludedReport {
  /** Digest of the host's peer address. */
  readonly host: number;
  readonly sequence: number;
}

/** What reports add up. */
export type LoadContent = Pick<LoadReport, "upstreams" | "teams" | "learned">;

/** All of it, as sent between hosts. */
export interface LoadReport {
  /** Peer address of the sender. */
  readonly from: string;
  /** Grows within one start of the sender. */
  readonly sequence: number;
  readonly upstreams: readonly UpstreamUse[];
  readonly teams: readonly TeamUse[];
  readonly learned: readonly LearnedOfService[];
  readonly scope: LoadScope;
  /** Of the sender. */
  readonly dataCentre: string;
  /** Of a sum over the fleet: the receivers' own reports that it contains. */
  readonly included: readonly IncludedReport[];
}
