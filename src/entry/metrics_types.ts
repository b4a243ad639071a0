/**
 * What the metrics of an entry host read from it, and what they are told.
 *
 * @module
 */

import type { ConnectResult } from "../crashes/mod.ts";
import type { Decision, LoadCoverage } from "../diagnostics/mod.ts";
import type { CallEnd } from "../forwarding/mod.ts";
import type { GrantOutcome } from "../grants/mod.ts";
import type {
  AttemptOutcome,
  ReceivedOutcome,
  ReturnCause,
} from "../handoff/mod.ts";
import type { PlacementSource } from "../prefixes/mod.ts";
import type { HeldParts } from "./memory_watch.ts";
import type { ProcessMemory } from "./process_use.ts";
import type { FetchOutcome } from "./table_copies.ts";

/** Values that are read when the metrics are collected. */
export interface MetricsHost {
  getConfigVersion(): number;
  getQueued(): number;
  countInFlight(): number;
  countAliveHosts(): number;
  getLoadCoverage(): LoadCoverage;
  /** Data centres that are evacuated, as far as this host knows. */
  countEvacuated(): number;
  countColdUpstreams(): number;
  getUnreadMs(): number;
  getReadingLimits(): readonly ReadingLimit[];
  /** The weights of upstreams other than 1. */
  getUpstreamWeights(): readonly UpstreamWeight[];
  /** Open handoffs of this host as the origin. */
  countHandoffs(): number;
  /** Shared prefixes with an upstream that is known to hold them. */
  countPrefixes(): number;
  /** Requests for grants that wait at this host as an owner. */
  countGrantRequests(): number;
  /** Open connections of callers. */
  countConnections(): number;
  /** Memory above which the process is killed, in bytes. */
  readonly memoryLimitBytes: number;
  /** `undefined` if it can't be read now. */
  tryReadMemory(): ProcessMemory | undefined;
  getHeld(): Pick<HeldParts, "requestBytes" | "responseBytes">;
  isReady(): boolean;
}

/**
 * The limit on the prompt tokens that an upstream of a service may be
 * processing at once (prefill).
 */
export interface ReadingLimit {
  readonly service: string;
  /**
   * Which of the limits of the service's upstreams this is; absent if all have
   * the same.
   */
  readonly rank?: "lowest" | "median" | "highest";
  readonly tokens: number;
}

/** The weight of an upstream in the ranking of prompts. */
export interface UpstreamWeight {
  readonly upstream: string;
  readonly weight: number;
}

/** The metrics of one host. */
export interface EntryMetrics {
  observeEnd(end: CallEnd): void;
  observeDecision(decision: Decision): void;
  /** Counts a finished fetch of a table from another host. */
  observeFetch(table: string, outcome: FetchOutcome): void;
  /** Counts an upstream that was asked whether it has crashed. */
  observeAsked(result: ConnectResult): void;
  /** Counts a host that was asked to take a connection. */
  observeHandoff(outcome: AttemptOutcome): void;
  /** Counts a connection that another host handed off. */
  observeReceived(outcome: ReceivedOutcome): void;
  observeReturned(cause: ReturnCause): void;
  /** Counts a prompt with a shared prefix that was sent to an upstream. */
  observePlacement(source: PlacementSource): void;
  /** Counts a request for a grant of this host that has ended. */
  observeGrant(outcome: GrantOutcome): void;
  render(): Promise<string>;
}
