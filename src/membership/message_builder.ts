/**
 * Builds the datagrams of the membership protocol: what a message has to say,
 * and what is piggybacked on it as far as there is room.
 *
 * @module
 */

import { estimateFactSize, estimateMemberSize } from "./entry_sizes.ts";
import type { FactStore } from "./facts.ts";
import type { GossipQueue } from "./gossip_queue.ts";
import type { MemberTable } from "./member_table.ts";
import type { MembershipHost } from "./membership_types.ts";
import type { Member, MembershipMessage } from "./types.ts";

/** What the messages of a host are built from. */
export interface MessageParts extends Pick<MembershipHost, "getConfigVersion"> {
  readonly table: MemberTable;
  readonly facts: FactStore;
  /** Members and facts that are still to be gossiped. */
  readonly memberQueue: GossipQueue;
  readonly factQueue: GossipQueue;
  /** Maximum bytes of updates and facts in one message. */
  readonly maxPayloadBytes: number;
}

/** Builds the messages of one host. */
export interface MessageBuilder {
  /** Creates a message of this host with the entries of members. */
  create(
    parts: Partial<MembershipMessage>,
    entries?: readonly Member[],
  ): MembershipMessage;
  /** Fills the rest of the message with queued facts and updates. */
  addQueued(message: MembershipMessage): MembershipMessage;
  /**
   * Entries that the target must get in any case. If this host considers the
   * target suspect, leaving or dead, or knows another incarnation of it, the
   * target gets that entry, so that it can refute it, and the sender's entry. A
   * target that this host does not know gets the sender's entry, so that it can
   * add the sender.
   */
  getEntriesFor(target: string, incarnation?: number): readonly Member[];
  /**
   * Entries that the acknowledgement of a probe must contain: those for the
   * prober, and this host's own entry if the prober has sent its own, as one does
   * that does not know this host.
   */
  getReplyEntries(probe: MembershipMessage): readonly Member[];
  /** Size of the member and the fact with this key, in bytes. */
  getKeyBytes(key: string): number;
}

/** Sequence number of an acknowledgement that answers no probe. */
export const UNSOLICITED_SEQUENCE = 0;

/** Creates the builder of a host. */
export function createMessageBuilder(
  { table, facts, memberQueue, factQueue, getConfigVersion, maxPayloadBytes }:
    MessageParts,
): MessageBuilder {
  function create(
    parts: Partial<MembershipMessage>,
    entries: readonly Member[] = [],
  ): MembershipMessage {
    const config = getConfigVersion();
    const { host, incarnation } = table.getSelf();
    const message = {
      from: host,
      incarnation,
      sequence: UNSOLICITED_SEQUENCE,
      isAck: false,
      wantsSync: false,
      probeTarget: "",
      configVersion: config.version,
      configDigest: config.digest,
      updates: entries,
      facts: [],
      directFacts: [],
    };
    return { ...message, ...parts };
  }

  function addQueued(message: MembershipMessage): MembershipMessage {
    let leftBytes = maxPayloadBytes;
    for (const entry of message.updates) leftBytes -= estimateMemberSize(entry);
    const newFacts = factQueue.take(leftBytes, getFactBytes)
      .map((key) => facts.tryGet(key)!);
    for (const fact of newFacts) leftBytes -= getFactBytes(fact.key);
    const newEntries = memberQueue.take(leftBytes, getMemberBytes)
      .map((each) => table.tryGet(each)!);
    return {
      ...message,
      updates: [...message.updates, ...newEntries],
      facts: newFacts,
    };
  }

  function getMemberBytes(name: string): number {
    const member = table.tryGet(name);
    return member === undefined ? 0 : estimateMemberSize(member);
  }

  function getFactBytes(key: string): number {
    const fact = facts.tryGet(key);
    return fact === undefined ? 0 : estimateFactSize(fact);
  }

  function getEntriesFor(
    target: string,
    incarnation?: number,
  ): readonly Member[] {
    const member = table.tryGet(target);
    if (member === undefined) return [table.getSelf()];
    const isOther = incarnation !== undefined &&
      incarnation !== member.incarnation;
    if (member.state === "alive" && !isOther) return [];
    return [table.getSelf(), member];
  }

  function getReplyEntries(
    { from, incarnation, updates }: MembershipMessage,
  ): readonly Member[] {
    const entries = getEntriesFor(from, incarnation);
    const hasIntroduced = updates.some((each) => each.host === from);
    return entries.length === 0 && hasIntroduced ? [table.getSelf()] : entries;
  }

  return {
    create,
    addQueued,
    getEntriesFor,
    getReplyEntries,
    getKeyBytes: (key) => getMemberBytes(key) + getFactBytes(key),
  };
}
