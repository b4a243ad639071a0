/**
 * Failure detection and spread of membership changes by probes: each period a
 * host probes one other host and, when no reply comes, asks two more to probe
 * it. Changes ride on probes and their replies, each a few times, so that the
 * traffic of a host does not grow with the number of hosts.
 *
 * The platform's list is only a seed: it lags, so it may name a dead host and
 * miss a new one. A listed host becomes a member when it has answered, and a
 * dead one is asked now and then whether it is back.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import { createGossipQueue } from "./gossip_queue.ts";
import { createFactStore } from "./facts.ts";
import { createMemberTable, isUsableMember } from "./member_table.ts";
import { createProber } from "./prober.ts";
import { createSuspicion } from "./suspicion.ts";
import { createSync } from "./sync.ts";
import type { Fact, Member, MembershipMessage, Seed } from "./types.ts";

/** What the protocol needs of the process. */
export interface MembershipHost {
  readonly clock: Clock;
  /** Sends one datagram to a member's peer address; loss is expected. */
  send(peerAddress: string, message: MembershipMessage): void;
  /** A number from 0 up to 1, for the order of probes. */
  random(): number;
  onChange(member: Member): void;
  /** A fact that is new to this host. */
  onFact(fact: Fact): void;
  /** What the host named has in force. */
  onConfigVersion(version: number, digest: string, from: string): void;
  getConfigVersion(): { readonly version: number; readonly digest: string };
}

/** Times of the protocol, in milliseconds, and sizes. */
export interface MembershipOptions {
  readonly periodMs: number;
  /** A probe without a reply for so long goes by way of others. */
  readonly ackTimeoutMs: number;
  /** A suspect that is silent for so long is dead. */
  readonly suspectTimeoutMs: number;
  readonly indirectProbes: number;
  /** Bytes of changes and facts in one datagram; keeps it under one packet. */
  readonly maxPayloadBytes: number;
}

/** A dead host is known everywhere within about 5 s, at 9 hosts and at 390. */
export const defaultMembershipOptions: MembershipOptions = {
  periodMs: 500,
  ackTimeoutMs: 200,
  suspectTimeoutMs: 2_500,
  indirectProbes: 2,
  maxPayloadBytes: 1_100,
};

/** One host's part in the protocol. */
export interface Membership {
  getSelf(): Member;
  /** All members known, dead ones too, this host included. */
  getMembers(): readonly Member[];
  /** Members that may get new work: alive or suspect, this host included. */
  getUsable(): readonly Member[];
  isUsable(host: string): boolean;
  /** Replaces the hosts that the platform's list or the settings name. */
  setSeeds(seeds: readonly Seed[]): void;
  /** Takes in a member as another host would tell of it. */
  applyUpdate(member: Member): void;
  receive(message: MembershipMessage, replyAddress: string): void;
  /** Called once each period. */
  tick(): void;
  /**
   * Spreads a fact to all hosts; each learns it once and keeps it for an hour.
   * Throws `RangeError` when it is too large for a datagram.
   */
  spreadFact(fact: Fact): void;
  /**
   * Sends a fact straight to all usable hosts, besides the gossip, for the few
   * that must be known within one network delay. One datagram for each host.
   */
  pushFact(fact: Fact): void;
  /** Tells the others that this host takes no new work. */
  leave(): void;
}

/** Lost hosts are asked whether they are back once in so many periods. */
const UNREACHABLE_PROBE_PERIODS = 4;

/** And so many at each period while this host has met nobody. */
const JOINING_PROBES = 3;

/**
 * A period that took so many times too long shows that this process was stopped
 * or starved: the silence was its own.
 */
const PAUSE_THRESHOLD_PERIODS = 4;

/** Bytes of an entry or a fact besides its texts, as encoded. */
const ENTRY_OVERHEAD_BYTES = 32;

/** Sequence of an acknowledgement that answers no probe. */
const UNSOLICITED_SEQUENCE = 0;

const MAX_FACT_BYTES = 512;

/** Makes the protocol's state for the host given. */
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
   * Each change is sent a number of times that grows with the logarithm of the
   * members: enough for it to reach all with high probability.
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
    };
    return { ...message, ...parts };
  }

  /** Adds the news that fits beside the entries that the message has. */
  function addQueuedUpdates(message: MembershipMessage): MembershipMessage {
    let leftBytes = options.maxPayloadBytes;
    for (const entry of message.updates) {
      leftBytes -= estimateMemberBytes(entry);
    }
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
    return member === undefined ? 0 : estimateMemberBytes(member);
  }

  function getFactBytes(key: string): number {
    const fact = facts.tryGet(key);
    return fact === undefined ? 0 : estimateFactBytes(fact);
  }

  /**
   * What a host must hear itself: that it is thought dead or suspect, so that it
   * can say otherwise; and then who says so, so that it learns the sender.
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
    const targetMember = target === undefined
      ? undefined
      : table.tryGet(target);
    if (targetMember !== undefined && targetMember.state !== "alive") {
      entries.push(targetMember);
    }
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

  /** Stores without telling others: they have heard it. */
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
   * Others may take this host for dead after a cut or a pause, or know a start
   * of it with a later wall clock. Only the host itself raises its revision and
   * incarnation, so its word overrides theirs.
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
      // Answered long ago, but the sender has missed that. It must hear again:
      // the next datagram, the reply to this one, carries the own entry.
      memberQueue.enqueue(self.host);
      return;
    }
    // A leaving host that others took for alive again must not stay so.
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

  /** Asks each suspect itself, so that it hears of it and can say otherwise. */
  function probeSuspects(): void {
    for (const target of suspicion.getDueForProbe()) {
      const member = table.tryGet(target);
      if (member !== undefined) prober.probeOnce(member);
    }
  }

  /**
   * After a cut each side holds the other for dead, and the list may name hosts
   * that were never met. Nobody else would ask them again.
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
   * This process was stopped: what it waited for came meanwhile and was lost. It
   * must not judge others by its own silence, nor trust what it knew before.
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
    // All that a host knows, sent to one that asked, is old news.
    const shouldGossip = message.sequence !== UNSOLICITED_SEQUENCE;
    for (const update of message.updates) applyUpdate(update, shouldGossip);
    for (const fact of message.facts) {
      if (!facts.add(fact)) continue;
      factQueue.enqueue(fact.key);
      host.onFact(fact);
    }
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
    const { requester: relay, probed } = prober.completeProbe(message.sequence);
    if (relay !== undefined) {
      // With the target's entry, so that a suspect's word gets through.
      const sender = table.tryGet(message.from);
      const parts = { isAck: true, sequence: relay.sequence };
      const entries = sender === undefined ? [] : [sender];
      host.send(relay.address, addQueuedUpdates(createMessage(parts, entries)));
    }
    if (probed === undefined) return;
    sync.recordContact(message.from);
    // A leaving host that answers is still there; a suspect has just said so
    // itself by a higher revision, which came with this acknowledgement.
    if (table.tryGet(probed)?.state === "leaving") suspicion.stop(probed);
  }

  function addFact(fact: Fact): void {
    if (estimateFactBytes(fact) > MAX_FACT_BYTES) {
      throw new RangeError(`The fact "${fact.key}" is too large`);
    }
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
    spreadFact: addFact,
    pushFact(fact) {
      addFact(fact);
      // As an acknowledgement of no probe, which asks for no reply.
      const message = createMessage({ isAck: true, facts: [fact] });
      for (const member of table.getPeers()) {
        host.send(member.peerAddress, message);
      }
    },
    leave() {
      const own = table.getSelf();
      const revision = own.revision + 1;
      setAndGossip({ ...own, state: "leaving", revision }, own);
    },
  };
}

function estimateMemberBytes(member: Member): number {
  const { host, dataCentre, peerAddress, publicAddress } = member;
  return ENTRY_OVERHEAD_BYTES + host.length + dataCentre.length +
    peerAddress.length + publicAddress.length;
}

function estimateFactBytes(fact: Fact): number {
  return ENTRY_OVERHEAD_BYTES + fact.key.length + fact.value.length;
}
