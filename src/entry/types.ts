/**
 * Types of the inputs of an entry host: its settings, the callers' protocol and
 * the platform.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { FleetRetryLimit } from "../admission/mod.ts";
import type { Clock, OpenAddress } from "../core/mod.ts";
import type { DecisionLog } from "../diagnostics/mod.ts";
import type { EntryPlatform } from "../discovery/mod.ts";
import type { CallCodec } from "../forwarding/mod.ts";
import type { LoopTimes } from "../handoff/mod.ts";

/** The settings of one entry host. */
export interface EntrySettings {
  /** Human-readable name of the host. */
  readonly name: string;
  readonly dataCentre: string;
  /** The region of each data centre. */
  readonly regions: ReadonlyMap<string, string>;
  /**
   * Address on which callers connect; an IP and a port, like all addresses
   * here.
   */
  readonly callerAddress: string;
  /** Address of the readiness probe. */
  readonly readinessAddress: string;
  /** Address on which callers query which hosts to use. */
  readonly resolveAddress: string;
  /** Address on which other hosts connect, over TCP and UDP. */
  readonly peerAddress: string;
  /** Peer addresses of a few hosts, some of which may no longer exist. */
  readonly seeds: readonly string[];
  /**
   * Number of standard-speed cores available to this process; may be below 1.
   */
  readonly processorShare: number;
  /** Memory above which the process is killed, in bytes. */
  readonly memoryBytes: number;
  /** Maximum number of open file descriptors of the process. */
  readonly maxFds: number;
  /** Time between SIGTERM and SIGKILL, in ms. */
  readonly stopGraceMs: number;
  /** Maximum time for which callers may cache a list of hosts, in ms. */
  readonly maxResolveTtlMs: number;
  /** Limit on attempts after the first of each request, over all hosts. */
  readonly retries: FleetRetryLimit;
}

/** A caller's query for the hosts to use. */
export interface ResolveQuery {
  /** Host name of the requests that the caller is going to send. */
  readonly hostName: string;
  readonly dataCentre: string;
  readonly region: string;
}

/** The callers' protocol: the call codec, host queries and readiness probes. */
export interface EntryProtocol {
  readonly calls: CallCodec;
  /** Returns `undefined` if the request is not a host query. */
  tryParseResolveQuery(req: IncomingMessage): ResolveQuery | undefined;
  encodeResolveAnswer(addresses: readonly string[], ttlMs: number): string;
  isReadinessProbe(req: IncomingMessage): boolean;
}

/** Dependencies of an entry host. */
export interface EntryHost {
  readonly clock: Clock;
  readonly platform: EntryPlatform;
  readonly protocol: EntryProtocol;
  readonly log: DecisionLog;
  /** Port and path of the metrics endpoint; absent to disable it. */
  readonly metrics?: { readonly port: number; readonly path: string };
  /**
   * Whether owners of upstreams admit the prompts of a large fleet, by limits
   * and speeds learned for each upstream; not if absent. All hosts of a fleet
   * must agree. It costs processor time at each host.
   */
  readonly grantsPrompts?: boolean;
  random(): number;
  /** Opens an address; at once if absent. */
  readonly open?: OpenAddress;
  /**
   * Reads the accumulated times of the event loop; those of this process if
   * absent.
   */
  readLoopTimes?(): LoopTimes;
}
