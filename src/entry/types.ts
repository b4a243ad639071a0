/**
 * What an entry host is started with: its settings, the protocol of the callers
 * and the platform.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { FleetRetryLimit } from "../admission/mod.ts";
import type { Clock } from "../core/mod.ts";
import type { DecisionLog } from "../diagnostics/mod.ts";
import type { EntryPlatform } from "../discovery/mod.ts";
import type { CallCodec } from "../forwarding/mod.ts";

/** The settings of one entry host. */
export interface EntrySettings {
  /** Name of the host, for people. */
  readonly name: string;
  readonly dataCentre: string;
  /** The region of each data centre. */
  readonly regions: ReadonlyMap<string, string>;
  /** Where callers connect; IP and port, like all addresses here. */
  readonly callerAddress: string;
  /** Where readiness is asked. */
  readonly readinessAddress: string;
  /** Where callers ask which hosts to use. */
  readonly resolveAddress: string;
  /** Where other hosts connect, TCP and UDP. */
  readonly peerAddress: string;
  /** Peer addresses of a few hosts, which may be gone. */
  readonly seeds: readonly string[];
  /** Cores that this process gets, of the usual speed; may be under one. */
  readonly processorShare: number;
  /** Between SIGTERM and SIGKILL, in ms. */
  readonly stopGraceMs: number;
  /** Longest time that callers keep an answer about hosts, in ms. */
  readonly maxResolveTtlMs: number;
  /** Arrivals beyond the first of each request, over all hosts. */
  readonly retries: FleetRetryLimit;
}

/** A caller's question which hosts to use. */
export interface ResolveQuery {
  readonly dataCentre: string;
  readonly region: string;
}

/** The callers' protocol besides the headers of requests. */
export interface EntryProtocol {
  readonly calls: CallCodec;
  /** `undefined` for any other request. */
  tryParseResolveQuery(req: IncomingMessage): ResolveQuery | undefined;
  encodeResolveAnswer(addresses: readonly string[], ttlMs: number): string;
  isReadinessProbe(req: IncomingMessage): boolean;
}

/** What an entry host needs of the world. */
export interface EntryHost {
  readonly clock: Clock;
  readonly platform: EntryPlatform;
  readonly protocol: EntryProtocol;
  readonly log: DecisionLog;
  /** Where metrics are served; absent for nowhere. */
  readonly metrics?: { readonly port: number; readonly path: string };
  random(): number;
}
