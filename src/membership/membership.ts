/**
 * Failure detection and gossip of membership changes, after the SWIM protocol.
 * In each period a host probes one other host. When no acknowledgement comes,
 * it asks two more hosts to probe that host indirectly. Changes are piggybacked
 * on probes and acknowledgements, each a limited number of times, so that the
 * traffic of a host does not grow with the number of hosts.
 *
 * The platform's list is only a source of seeds, since it lags: it may name a
 * dead host and miss a new one. A listed host becomes a member when it has
 * answered a probe. A dead host is probed at intervals, in case it is back.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import {
  checkFactSize,
  estimateFactSize,
  estimateMemberSize,
  splitBySize,
} from "./entry_sizes.ts";
import { createGossipQueue } from "./gossip_queue.ts";
import { createFactStore } from "./facts.ts";
import { createMemberTable, isUsableMember } from "./member_table.ts";
import { createProber } from "./prober.ts";
import { createSuspicion } from "./suspicion.ts";
import { createSync } from "./sync.ts";
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

/** An unreachable host is probed once in this many periods. */
const UNREACHABLE_PROBE_PERIODS = 4;

/**
 * Number of unreachable hosts probed in each period while this host has no
 * peer.
 */
const JOINING_PROBES = 3;

/**
 * A period that is longer than planned by this many periods shows that this
 * process was stopped or starved, so that missing acknowledgements are its own
 * fault.
 */
const PAUSE_THRESHOLD_PERIODS = 4;

/** Sequence number of an acknowledgement that answers no probe. */
const UNSOLICITED_SEQUENCE = 0;

/** Creates the membership protocol of the host `self`. */
export function createMembership(
  self: Member,
  host: MembershipHost,
  options: MembershipOptions = defaultMembershipOptions,
): Membership {
  const { clock } = host;
  const table = createMemberTable(self, clock);
  const facts = createFactStore(clock);
  const memberQueue = createGossipQueue(getSendLimit);
  const factQueue = createGossipQueue(getSendLimit);
  const suspicion = createSuspicion(options, clock);
  const sync = createSync();
  const prober = createProber(options, {
    clock,
    random: host.random,
    getPeers: table.getPeers,
    tryGetPeer: table.tryGetPeer,
    send: sendProbe,
    onProbeFailed: startSuspicion,
  });
  let lastTickMs = clock.monotonicMs();
  let ticks = 0;
  memberQueue.enqueue(self.host);

  /**
   * Number of times that each update is sent. It grows with the logarithm of
   * the number of members, which is enough to reach all of them with high
   * probability.
   */
  function getSendLimit(): number {
    return 3 * Math.ceil(Math.log2(table.getCount() + 1));
  }

  function createMessage(
    parts: Partial<MembershipMessage>,
    entries: readonly Member[] = [],
  ): MembershipMessage {
    const config = host.getConfigVersion();
    const { incarnation } = table.getSelf();
    const message = {
      from: self.host,
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

  /** Fills the rest of the message with queued facts and updates. */
  function addQueuedUpdates(message: MembershipMessage): MembershipMessage {
    let leftBytes = options.maxPayloadBytes;
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

  /**
   * Entries that the target must get in any case. If this host considers the
   * target suspect, leaving or dead, or knows another incarnation of it, the
   * target gets that entry, so that it can refute it, and the sender's entry. A
   * target that this host does not know gets the sender's entry, so that it can
   * add the sender.
   */
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

  function sendProbe(
    to: Seed,
    sequence: number,
    target: string | undefined,
  ): void {
    const entries = [...getEntriesFor(to.host)];
    const member = target === undefined ? undefined : table.tryGet(target);
    if (member !== undefined && member.state !== "alive") entries.push(member);
    const parts = {
      sequence,
      probeTarget: target ?? "",
      wantsSync: sync.isNeeded(),
    };
    host.send(to.peerAddress, addQueuedUpdates(createMessage(parts, entries)));
  }

  function setAndGossip(member: Member, known: Member | undefined): void {
    memberQueue.enqueue(member.host);
    setWithoutGossip(member, known);
  }

  /** Stores an update that need not be gossiped. */
  function setWithoutGossip(member: Member, known: Member | undefined): void {
    table.set(member);
    suspicion.update(member);
    const isChange = known?.state !== member.state ||
      known.incarnation !== member.incarnation;
    if (isChange) host.onChange(member);
  }

  function applyUpdate(update: Member, shouldGossip: boolean): void {
    if (update.host === self.host) {
      refute(update);
      return;
    }
    const known = table.tryGet(update.host);
    if (!table.merge(update)) return;
    if (shouldGossip) setAndGossip(update, known);
    else setWithoutGossip(update, known);
  }

  /**
   * Refutes an update about this host. After a network partition or a pause,
   * other hosts may consider this host dead, or they may know an earlier run of
   * it whose wall clock was ahead. Only the host itself raises its revision and
   * incarnation, so its own entry overrides theirs.
   */
  function refute(update: Member): void {
    const own = table.getSelf();
    if (update.incarnation > own.incarnation) {
      setAndGossip(
        { ...own, incarnation: update.incarnation + 1, revision: 1 },
        own,
      );
      return;
    }
    const isSuspectOrDead = update.state === "dead" ||
      update.state === "suspect";
    if (
      update.incarnation < own.incarnation || update.revision < own.revision
    ) {
      // This host has refuted the update before, and the sender missed that.
      // The host's entry is queued again, so that the next datagram, which is
      // the reply to this one, contains it.
      memberQueue.enqueue(self.host);
      return;
    }
    // A revision that this host has not set itself must be overridden even if
    // the state is better: other hosts may consider a leaving host alive.
    const isAhead = update.revision > own.revision;
    if (!isSuspectOrDead && !isAhead) return;
    setAndGossip({ ...own, revision: update.revision + 1 }, own);
  }

  function startSuspicion(target: string): void {
    const member = table.tryGet(target);
    if (member === undefined) return;
    suspicion.start(target);
    if (member.state === "alive") {
      setAndGossip({ ...member, state: "suspect" }, member);
    }
  }

  function expireSuspects(): void {
    for (const target of suspicion.takeExpired()) {
      const member = table.tryGet(target);
      if (member === undefined || member.state === "dead") continue;
      setAndGossip({ ...member, state: "dead" }, member);
    }
  }

  /**
   * Probes suspects directly, so that each learns of the suspicion and can
   * refute it.
   */
  function probeSuspects(): void {
    for (const target of suspicion.getDueForProbe()) {
      const member = table.tryGet(target);
      if (member !== undefined) prober.probeOnce(member);
    }
  }

  /**
   * Probes unreachable hosts. After a network partition each side considers the
   * other dead, and the platform's list may name hosts that have never
   * answered. No other part of the protocol would probe them again.
   */
  function probeUnreachable(): void {
    const isAlone = table.getPeers().length === 0;
    if (!isAlone && ticks % UNREACHABLE_PROBE_PERIODS !== 0) return;
    const unreachable = table.getUnreachable();
    const count = isAlone ? JOINING_PROBES : 1;
    const first = Math.floor(host.random() * unreachable.length);
    for (let each = 0; each < Math.min(count, unreachable.length); each++) {
      prober.probeOnce(unreachable[(first + each) % unreachable.length]!);
    }
  }

  /**
   * Detects that this process was stopped and resets its timers.
   * Acknowledgements that came meanwhile were lost, so missing ones say nothing
   * about other hosts. The known state may be outdated, so a full sync is
   * requested.
   */
  function recoverFromPause(nowMs: number): void {
    const pausedMs = nowMs - lastTickMs - options.periodMs;
    if (pausedMs < PAUSE_THRESHOLD_PERIODS * options.periodMs) return;
    prober.cancelAll();
    suspicion.extendTimeouts(pausedMs);
    sync.restart();
  }

  function sendSync(): void {
    const createSyncMessage = (keys: readonly string[]) => {
      const entries = keys.flatMap((key) => table.tryGet(key) ?? []);
      const known = keys.flatMap((key) => facts.tryGet(key) ?? []);
      return createMessage({ isAck: true, facts: known }, entries);
    };
    for (const { address, keys } of sync.takeChunks(options, getKeyBytes)) {
      host.send(address, createSyncMessage(keys));
    }
  }

  function getKeyBytes(key: string): number {
    return getMemberBytes(key) + getFactBytes(key);
  }

  function receive(message: MembershipMessage, replyAddress: string): void {
    if (message.from === self.host) return;
    // A full sync repeats old state, which must not be gossiped again.
    const shouldGossip = message.sequence !== UNSOLICITED_SEQUENCE;
    for (const update of message.updates) applyUpdate(update, shouldGossip);
    for (const fact of message.facts) {
      if (!facts.add(fact)) continue;
      factQueue.enqueue(fact.key);
      host.onFact(fact);
    }
    for (const fact of message.directFacts) host.onDirectFact?.(fact);
    const { configVersion, configDigest, from, sequence } = message;
    host.onConfigVersion(configVersion, configDigest, from);
    if (message.wantsSync) {
      const keys = table.getAll().map((each) => each.host);
      sync.enqueue(replyAddress, [...keys, ...facts.getKeys()]);
    }
    if (message.isAck) receiveAck(message);
    else if (!tryRelay(message, replyAddress)) {
      const entries = getEntriesFor(from, message.incarnation);
      const ack = createMessage({ isAck: true, sequence }, entries);
      host.send(replyAddress, addQueuedUpdates(ack));
    }
  }

  function tryRelay(message: MembershipMessage, replyAddress: string): boolean {
    const target = table.tryGet(message.probeTarget);
    if (target === undefined || target.host === self.host) return false;
    prober.probeOnBehalf(target, { address: replyAddress, ...message });
    return true;
  }

  function receiveAck(message: MembershipMessage): void {
    const { requester, probed } = prober.completeProbe(message.sequence);
    if (requester !== undefined) {
      // Includes the target's entry, so that its refutation reaches the
      // requester.
      const sender = table.tryGet(message.from);
      const parts = { isAck: true, sequence: requester.sequence };
      const entries = sender === undefined ? [] : [sender];
      host.send(
        requester.address,
        addQueuedUpdates(createMessage(parts, entries)),
      );
    }
    if (probed === undefined) return;
    sync.recordContact(message.from);
    // A leaving host that answers is still running. A suspect that answers has
    // already refuted the suspicion by a higher revision, which this
    // acknowledgement contained.
    if (table.tryGet(probed)?.state === "leaving") suspicion.stop(probed);
  }

  function addFact(fact: Fact): void {
    checkFactSize(fact);
    if (facts.add(fact)) factQueue.enqueue(fact.key);
  }

  return {
    getSelf: table.getSelf,
    getMembers: table.getAll,
    getUsable: () => table.getAll().filter(isUsableMember),
    isUsable(target) {
      const member = table.tryGet(target);
      return member !== undefined && isUsableMember(member);
    },
    setSeeds: table.setSeeds,
    applyUpdate: (member) => applyUpdate(member, true),
    receive,
    tick() {
      const nowMs = clock.monotonicMs();
      recoverFromPause(nowMs);
      lastTickMs = nowMs;
      ticks++;
      prober.checkTimeouts();
      expireSuspects();
      prober.probeNext();
      probeSuspects();
      probeUnreachable();
      sendSync();
      table.removeExpiredDead();
      facts.expire();
    },
    gossipFact: addFact,
    broadcastFact(fact) {
      addFact(fact);
      // Sent as an unsolicited acknowledgement, which gets no reply.
      const message = createMessage({ isAck: true, facts: [fact] });
      for (const member of table.getPeers()) {
        host.send(member.peerAddress, message);
      }
    },
    sendFacts(direct, peerAddress) {
      for (const directFacts of splitBySize(direct, options.maxPayloadBytes)) {
        host.send(peerAddress, createMessage({ isAck: true, directFacts }));
      }
    },
    leave() {
      const own = table.getSelf();
      const revision = own.revision + 1;
      setAndGossip({ ...own, state: "leaving", revision }, own);
    },
  };
}
