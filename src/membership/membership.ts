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

import { checkFactSize, splitBySize } from "./entry_sizes.ts";
import { createGossipQueue } from "./gossip_queue.ts";
import { createFactStore } from "./facts.ts";
import { createMemberTable, isUsableMember } from "./member_table.ts";
import {
  defaultMembershipOptions,
  type Membership,
  type MembershipHost,
  type MembershipOptions,
} from "./membership_types.ts";
import {
  createMessageBuilder,
  UNSOLICITED_SEQUENCE,
} from "./message_builder.ts";
import { createProber } from "./prober.ts";
import { decideRefutation } from "./refutation.ts";
import { createSuspicion } from "./suspicion.ts";
import { createSync } from "./sync.ts";
import type { Fact, Member, MembershipMessage, Seed } from "./types.ts";

/** An unreachable host is probed once in this many periods. */
const UNREACHABLE_PROBE_PERIODS = 4;

/**
 * Number of unreachable hosts probed in each period while this host has no peer
 * or joins.
 */
const JOINING_PROBES = 3;

/**
 * Time after its start or a pause for which a host joins, in ms: until then it
 * asks again for a full sync while it lacks listed hosts.
 */
const JOIN_MS = 10_000;

/** While it joins, a host asks for a full sync once in this many periods. */
const SYNC_PERIODS = 4;

/**
 * A period that is longer than planned by this many periods shows that this
 * process was stopped or starved, so that missing acknowledgements are its own
 * fault.
 */
const PAUSE_THRESHOLD_PERIODS = 4;

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
  const messages = createMessageBuilder({
    table,
    facts,
    memberQueue,
    factQueue,
    getConfigVersion: host.getConfigVersion,
    maxPayloadBytes: options.maxPayloadBytes,
  });
  let lastTickMs = clock.monotonicMs();
  let ticks = 0;
  let joiningSinceMs = clock.monotonicMs();
  /** Whether the next probe asks for a full sync. */
  let isSyncDue = false;
  memberQueue.enqueue(self.host);

  /**
   * Number of times that each update is sent. It grows with the logarithm of
   * the number of members, which is enough to reach all of them with high
   * probability.
   */
  function getSendLimit(): number {
    return 3 * Math.ceil(Math.log2(table.getCount() + 1));
  }

  function sendProbe(
    to: Seed,
    sequence: number,
    target: string | undefined,
  ): void {
    const entries = [...messages.getEntriesFor(to.host)];
    const member = target === undefined ? undefined : table.tryGet(target);
    if (member !== undefined && member.state !== "alive") entries.push(member);
    const parts = {
      sequence,
      probeTarget: target ?? "",
      wantsSync: sync.isNeeded() || isSyncDue,
    };
    isSyncDue = false;
    host.send(
      to.peerAddress,
      messages.addQueued(messages.create(parts, entries)),
    );
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

  function refute(update: Member): void {
    const own = table.getSelf();
    const refutation = decideRefutation(own, update);
    switch (refutation.kind) {
      case "none":
        return;
      case "repeat":
        // The next datagram, which is the reply to this one, contains it.
        return memberQueue.enqueue(self.host);
      case "override":
        return setAndGossip(refutation.entry, own);
    }
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

  function isJoining(): boolean {
    return clock.monotonicMs() - joiningSinceMs < JOIN_MS &&
      table.getUnmet().length > 0;
  }

  /**
   * Probes unreachable hosts. After a network partition each side considers the
   * other dead, and the platform's list may name hosts that have never
   * answered. No other part of the protocol would probe them again.
   */
  function probeUnreachable(): void {
    const isAlone = table.getPeers().length === 0;
    const isHurried = isAlone || isJoining();
    if (!isHurried && ticks % UNREACHABLE_PROBE_PERIODS !== 0) return;
    const unreachable = isJoining() ? table.getUnmet() : table.getUnreachable();
    const count = isHurried ? JOINING_PROBES : 1;
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
    joiningSinceMs = nowMs;
  }

  function sendSync(): void {
    const createSyncMessage = (keys: readonly string[]) => {
      const entries = keys.flatMap((key) => table.tryGet(key) ?? []);
      const known = keys.flatMap((key) => facts.tryGet(key) ?? []);
      return messages.create({ isAck: true, facts: known }, entries);
    };
    for (
      const { address, keys } of sync.takeChunks(options, messages.getKeyBytes)
    ) {
      host.send(address, createSyncMessage(keys));
    }
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
      const entries = messages.getReplyEntries(message);
      const ack = messages.create({ isAck: true, sequence }, entries);
      host.send(replyAddress, messages.addQueued(ack));
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
        messages.addQueued(messages.create(parts, entries)),
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
    isJoining,
    setSeeds: table.setSeeds,
    applyUpdate: (member) => applyUpdate(member, true),
    receive,
    tick() {
      const nowMs = clock.monotonicMs();
      recoverFromPause(nowMs);
      lastTickMs = nowMs;
      ticks++;
      isSyncDue = ticks % SYNC_PERIODS === 0 && isJoining();
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
      const message = messages.create({ isAck: true, facts: [fact] });
      for (const member of table.getPeers()) {
        host.send(member.peerAddress, message);
      }
    },
    sendFacts(direct, peerAddress) {
      for (const directFacts of splitBySize(direct, options.maxPayloadBytes)) {
        host.send(peerAddress, messages.create({ isAck: true, directFacts }));
      }
    },
    leave() {
      const own = table.getSelf();
      const revision = own.revision + 1;
      setAndGossip({ ...own, state: "leaving", revision }, own);
    },
  };
}
