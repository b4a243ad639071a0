/**
 * The membership protocol as its users see it: what it needs, its timing and
 * what it offers.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact, Member, MembershipMessage, Seed } from "./types.ts";

/** Dependencies of the membership protocol that the process provides. */
export interface MembershipHost {
  readonly clock: Clock;
  /** Sends one datagram to a peer address; it may be lost. */
  send(peerAddress: string, message: MembershipMessage): void;
  /** A random number from 0 up to 1, used for the order of probes. */
  random(): number;
  onChange(member: Member): void;
  /** Called with each fact that is new to this host. */
  onFact(fact: Fact): void;
  /** Called with each fact that another host sent to this host alone. */
  onDirectFact?(fact: Fact): void;
  /** Called with the configuration version that host `from` has in force. */
  onConfigVersion(version: number, digest: string, from: string): void;
  getConfigVersion(): { readonly version: number; readonly digest: string };
}

/** Timing and sizes of the protocol; times are in ms. */
export interface MembershipOptions {
  readonly periodMs: number;
  /** Time to wait for an acknowledgement before indirect probes are sent. */
  readonly ackTimeoutMs: number;
  /** Time without a sign of life after which a suspect is declared dead. */
  readonly suspectTimeoutMs: number;
  readonly indirectProbes: number;
  /**
   * Maximum bytes of updates and facts in one datagram, so that it fits into
   * one packet.
   */
  readonly maxPayloadBytes: number;
}

/**
 * With these values all hosts know a dead host within about 5 s, in fleets of 9
 * and of 390 hosts.
 */
export const defaultMembershipOptions: MembershipOptions = {
  periodMs: 500,
  ackTimeoutMs: 200,
  suspectTimeoutMs: 2_500,
  indirectProbes: 2,
  maxPayloadBytes: 1_100,
};

/** The membership protocol as one host runs it. */
export interface Membership {
  getSelf(): Member;
  /** All known members, including dead ones and this host. */
  getMembers(): readonly Member[];
  /**
   * Members that may get new work: those alive or suspect, including this host.
   */
  getUsable(): readonly Member[];
  isUsable(host: string): boolean;
  /** Whether this host has started or paused lately and lacks listed hosts. */
  isJoining(): boolean;
  /**
   * Replaces the seeds: the hosts that the platform's list or the settings
   * name.
   */
  setSeeds(seeds: readonly Seed[]): void;
  /** Applies an update about a member as if another host had sent it. */
  applyUpdate(member: Member): void;
  receive(message: MembershipMessage, replyAddress: string): void;
  /** Runs one protocol period; must be called every `periodMs`. */
  tick(): void;
  /**
   * Gossips a fact to all hosts. Each host gets it once and keeps it for an
   * hour. Throws `RangeError` when the fact is too large for a datagram.
   */
  gossipFact(fact: Fact): void;
  /**
   * Gossips a fact and also sends it directly to every peer, in one datagram
   * each. Meant for the few facts that all hosts must know within one network
   * delay.
   */
  broadcastFact(fact: Fact): void;
  /**
   * Sends facts to one peer only, in as few datagrams as they fit into. They
   * are neither kept nor gossiped.
   */
  sendFacts(facts: readonly Fact[], peerAddress: string): void;
  /** Announces that this host takes no new work. */
  leave(): void;
}
