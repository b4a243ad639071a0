/**
 * Types of the membership protocol.
 *
 * @module
 */

/**
 * State of a member. Of two updates with the same incarnation and revision, the
 * state that stands later in this list wins.
 */
export type MemberState = "alive" | "suspect" | "leaving" | "dead";

/** A host of the fleet, as this host knows it. */
export interface Member {
  readonly host: string;
  /**
   * Wall-clock time of the host's start, in ms, which distinguishes a restarted
   * host from its previous run. A host whose clock went back between two starts
   * raises it above the value that the other hosts know.
   */
  readonly incarnation: number;
  /**
   * Counts the member's own changes of state; only the member itself raises it.
   */
  readonly revision: number;
  readonly state: MemberState;
  readonly dataCentre: string;
  readonly peerAddress: string;
  readonly publicAddress: string;
}

/**
 * A host that the platform's list or the settings name; its state is not known.
 */
export type Seed = Pick<Member, "host" | "dataCentre" | "peerAddress">;

/**
 * A small key-value record that is gossiped to all hosts, such as the
 * fingerprint of a quarantined content. Of two facts with one key, the one with
 * the higher version wins.
 */
export interface Fact {
  readonly key: string;
  readonly version: number;
  readonly value: string;
}

/** One datagram of the membership protocol. */
export interface MembershipMessage {
  readonly from: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly isAck: boolean;
  /** The sender asks the receiver for its complete state. */
  readonly wantsSync: boolean;
  /**
   * Host that the receiver should probe on the sender's behalf (an indirect
   * probe); empty for a direct probe.
   */
  readonly probeTarget: string;
  readonly configVersion: number;
  readonly configDigest: string;
  readonly updates: readonly Member[];
  readonly facts: readonly Fact[];
  /** Facts for the receiver alone, which does not gossip them. */
  readonly directFacts: readonly Fact[];
}
