/**
 * Distributes crash events over the fleet. Each event goes to the owners of its
 * subject, chosen by rendezvous hashing; they add up the events of all hosts
 * and tell everyone once one more crash would be held against the subject.
 *
 * Load: a rack of upstreams is lost, and at each of 195 hosts the responses of
 * several contents break off, and with them parts that most prompts share.
 *
 * Failures prevented: hosts that each count alone let one content crash an
 * upstream per host. If every event were gossiped to all hosts instead, those
 * of a lost rack would displace the other facts for minutes; most of them
 * concern contents that will never be seen again, and parts that run well a
 * moment later. Nothing is told of a part until it has had time to run well.
 *
 * @module
 */

import { type Clock, dropOldest, getOrCreate } from "../core/mod.ts";
import { type Fact, rankByRendezvous } from "../membership/mod.ts";
import type { CrashEvents } from "./crash_events.ts";
import { createCrashFact } from "./crash_facts.ts";
import { getCrashLimits, isPart } from "./subjects.ts";
import type { CrashEvent } from "./types.ts";

/** Dependencies of the reports, supplied by the process. */
export interface CrashReportsHost {
  readonly clock: Clock;
  /** Peer address of this host. */
  readonly self: string;
  /** Peer addresses of the hosts that are alive, including this one. */
  getHosts(): readonly string[];
  /** Sends the facts to one host, which does not gossip them. */
  sendFacts(facts: readonly Fact[], peerAddress: string): void;
  /** Sends the fact to all hosts, which get it within one network delay. */
  broadcastFact(fact: Fact): void;
  /** Sends the fact to all hosts, in a few seconds. */
  gossipFact(fact: Fact): void;
}

/** The reports of one host. */
export interface CrashReports {
  /** Reports an event that this host has added or refuted itself. */
  report(event: CrashEvent): void;
  /** Handles an event that was reported to this host and is new to it. */
  receiveReport(event: CrashEvent): void;
  /** Handles an event that an owner has published. */
  receivePublished(event: CrashEvent): void;
  /** Sends what is due; must be called several times per second. */
  tick(): void;
}

/** Number of hosts that add up the events of one subject. */
const OWNERS = 2;

/**
 * What the owners of parts are chosen by: all parts have the same owners, so
 * that a host's report of all parts at a crash fits into a datagram or two.
 */
const PARTS_KEY = "parts";

/**
 * Time for which a part may run well again before its crash is told, in ms: a
 * part that others share mostly does, at another upstream.
 */
const PART_DELAY_MS = 600;

/**
 * Time between the hosts that may refute the crashes of a part, in ms. They
 * report in turn, so that the first ones spare the others theirs.
 */
const REFUTATION_GAP_MS = 100;

/** Turns of hosts that refute; all others share the last one. */
const REFUTATION_TURNS = 10;

/**
 * Times between the sends of a report, in ms. The first ones replace lost
 * datagrams. The last ones reach the owners that a host learns of later: hosts
 * that start together, or were cut off, know only some of the others at first.
 */
const RESEND_DELAYS_MS = [600, 1_200, 5_000, 15_000, 45_000];

/** Limit on the events of one subject that are published. */
const MAX_PUBLISHED_EVENTS = 12;

/** Limit on the reports that wait to be sent; the oldest is dropped. */
const MAX_PENDING = 200;

/** Limit on the facts that this host broadcasts per second; others are gossiped. */
const MAX_BROADCASTS_PER_S = 6;

/** Limit on the remembered published facts; the oldest is forgotten. */
const MAX_PUBLISHED = 2_000;

interface PendingReport {
  readonly event: CrashEvent;
  sent: number;
  /** Monotonic milliseconds. */
  dueMs: number;
}

/** Creates the reports of a host that knows the events given. */
export function createCrashReports(
  host: CrashReportsHost,
  events: CrashEvents,
): CrashReports {
  const { clock } = host;
  const pending = new Map<string, PendingReport>();
  /** Version of each published fact, by key. */
  const published = new Map<string, number>();
  const publicSubjects = new Set<string>();
  const broadcastsMs: number[] = [];

  function rankHosts(subject: string): readonly string[] {
    const key = isPart(subject) ? PARTS_KEY : subject;
    return rankByRendezvous(key, host.getHosts());
  }

  function getOwners(subject: string): readonly string[] {
    return rankHosts(subject).slice(0, OWNERS);
  }

  function getDelayMs({ subject, state }: CrashEvent): number {
    if (!isPart(subject)) return 0;
    if (state === "counted") return PART_DELAY_MS;
    const turn = rankHosts(subject).indexOf(host.self);
    return Math.min(turn, REFUTATION_TURNS) * REFUTATION_GAP_MS;
  }

  /** Marks the event as known to all hosts; returns false if it was. */
  function setPublished(event: CrashEvent): boolean {
    const { key, version } = createCrashFact(event);
    publicSubjects.add(event.subject);
    dropOldest(publicSubjects, MAX_PUBLISHED);
    if ((published.get(key) ?? 0) >= version) return false;
    published.set(key, version);
    dropOldest(published, MAX_PUBLISHED);
    const report = pending.get(key);
    if (report?.event.state === event.state) pending.delete(key);
    return true;
  }

  function mayBroadcast(): boolean {
    const nowMs = clock.monotonicMs();
    while (nowMs - (broadcastsMs[0] ?? nowMs) > 1_000) broadcastsMs.shift();
    if (broadcastsMs.length >= MAX_BROADCASTS_PER_S) return false;
    broadcastsMs.push(nowMs);
    return true;
  }

  function publishIfDue(subject: string): void {
    for (const event of getNews(subject)) publish(event);
  }

  /** Events that change what other hosts decide about the subject. */
  function getNews(subject: string): readonly CrashEvent[] {
    const refuted = events.get(subject).filter((each) =>
      each.state === "refuted" && published.has(createCrashFact(each).key)
    );
    const counted = events.getCounted(subject);
    const { crashes } = getCrashLimits(subject);
    // A part that is public mostly runs well again, and then begins anew.
    const isPublic = !isPart(subject) && publicSubjects.has(subject);
    if (!isPublic && counted.length < crashes - 1) return refuted;
    const most = isPart(subject) ? MAX_PUBLISHED_EVENTS : crashes;
    return [...refuted, ...counted.slice(0, most)];
  }

  function publish(event: CrashEvent): void {
    if (!setPublished(event)) return;
    const fact = createCrashFact(event);
    const isUrgent = event.state === "refuted" ||
      events.count(event.subject) >= getCrashLimits(event.subject).crashes;
    if (isUrgent && mayBroadcast()) host.broadcastFact(fact);
    else host.gossipFact(fact);
  }

  function publishIfOwner(subject: string): void {
    if (getOwners(subject).includes(host.self)) publishIfDue(subject);
  }

  function sendDue(): void {
    if (pending.size === 0) return;
    const nowMs = clock.monotonicMs();
    const factsByOwner = new Map<string, Fact[]>();
    for (const [key, report] of pending) {
      if (report.dueMs > nowMs) continue;
      const delayMs = RESEND_DELAYS_MS[report.sent];
      if (delayMs === undefined) pending.delete(key);
      else report.dueMs = nowMs + delayMs;
      report.sent++;
      for (const owner of getOwners(report.event.subject)) {
        if (owner === host.self) continue;
        getOrCreate(factsByOwner, owner, (): Fact[] => [])
          .push(createCrashFact(report.event));
      }
    }
    for (const [owner, facts] of factsByOwner) host.sendFacts(facts, owner);
  }

  return {
    report(event) {
      const { key } = createCrashFact(event);
      const isTold = published.has(key) || pending.get(key)?.sent !== 0;
      pending.delete(key);
      if (event.state === "counted" || isTold) {
        const dueMs = clock.monotonicMs() + getDelayMs(event);
        pending.set(key, { event, sent: 0, dueMs });
        dropOldest(pending, MAX_PENDING);
      }
      publishIfOwner(event.subject);
    },
    receiveReport: ({ subject }) => publishIfDue(subject),
    receivePublished(event) {
      setPublished(event);
      publishIfOwner(event.subject);
    },
    tick: sendDue,
  };
}
