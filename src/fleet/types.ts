/**
 * Interfaces of the fleet coordination of a router.
 *
 * @module
 */

import type { Clock, HybridClock } from "../core/mod.ts";
import type { ServiceCounters } from "../fairness/mod.ts";
import type { Frame } from "../generated/peer_pb.ts";
import type { Membership } from "../membership/mod.ts";
import type { PeerLink, PeerLinkHost } from "../peers/mod.ts";
import type {
  AdaptiveLimit,
  AdaptiveLimitOptions,
} from "../slots/adaptive_limit.ts";
import type { PickPolicy, SlotClient } from "../slots/mod.ts";
import type { Recorder } from "../timeline/mod.ts";
import type { Deployment } from "../types.ts";
import type { CreateExchange } from "./counter_exchange.ts";

/** Dependencies of the fleet coordination that the process provides. */
export interface FleetHost {
  readonly id: string;
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly fleetToken: string;
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  readonly recorder: Recorder;
  readonly membership: Pick<Membership, "getMembers" | "getUsable">;
  readonly policy: FleetPolicy;
  /** A random number from 0 up to 1. */
  random(): number;
  getDeployment(): Deployment | undefined;
  isUpstreamLeaving(upstream: string): boolean;
  /** Creates the link to the peer at the address. */
  createLink(address: string, linkHost: PeerLinkHost): PeerLink;
  /** Runs the callback after the current call has returned. */
  defer(run: () => void): void;
  /**
   * Whether the peer has dialed this host, so that frames can be sent over its
   * connection.
   */
  isDialedBy(peer: string): boolean;
  /**
   * Sends over the connection of a peer that has dialed this host; returns
   * false without one.
   */
  trySendBack(peer: string, frame: Frame): boolean;
  onPeerLost(peer: string, reason: string): void;
  /**
   * Reports the bytes of control traffic sent, by kind of message and receiver.
   */
  onControlSent(kind: string, bytes: number, peer: string): void;
}

/** Policies that measurements can replace by baselines. */
export interface FleetPolicy {
  readonly tryPick: PickPolicy;
  readonly createExchange: CreateExchange;
  /**
   * Creates the concurrency limit of an owned upstream; by default the adaptive
   * limit.
   */
  readonly createLimit?: (options: AdaptiveLimitOptions) => AdaptiveLimit;
  /** Chooses the candidate that owns the key. */
  tryGetOwner(key: string, candidates: readonly string[]): string | undefined;
}

/** State of an owned upstream, as shown to operators. */
export interface OwnedUpstream {
  readonly upstream: string;
  readonly limit: number;
  readonly inUse: number;
  readonly waiting: number;
}

/** The fleet coordination of one router. */
export interface Fleet {
  readonly slots: SlotClient;
  receiveFrame(peer: string, frame: Frame): void;
  /**
   * Updates ownerships and links after a change of members or of the
   * deployment.
   */
  reconcile(): void;
  /** Sends all messages queued since the last flush. */
  flush(): void;
  /** Sends counter reports to the parent nodes. */
  exchangeCounters(): void;
  getOwned(): readonly OwnedUpstream[];
  /** Number of links that this host has dialed. */
  getLinkCount(): number;
  getOwner(upstream: string): string | undefined;
  getCounters(): ReadonlyMap<string, ServiceCounters>;
}
