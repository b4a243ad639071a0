/**
 * Knows at which software version a stream began that a caller takes up at any
 * host. What upstreams of two versions write doesn't fit together.
 *
 * Load: upstreams of several versions serve side by side in one service, hosts
 * are lost, and callers take their streams up at other hosts, over several
 * tries.
 *
 * Failures prevented: a caller gets events of two versions; or streams are
 * refused although their version serves, since the host that began them is
 * gone.
 *
 * While a service has several versions, the host that begins a stream tells a
 * few others, chosen by the digest of the request. A host that is asked to take
 * a stream up asks these. While there is one version, nobody tells or asks;
 * each host remembers what it began, and tells that once a second one appears.
 * The platform keeps a record of the versions, for hosts that start.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { getOrCreate } from "../core/mod.ts";
import type { ServiceVersion } from "../discovery/mod.ts";
import type { Fact } from "../membership/mod.ts";
import { rankByRendezvous } from "../membership/mod.ts";
import { type BegunStream, createBegunStreams } from "./begun_streams.ts";
import { hasWatched, isTableCurrent, type Watch } from "./decide_version.ts";
import { createFactsOutbox } from "./facts_outbox.ts";
import { createVersionSearch, type TakenUpStream } from "./find_version.ts";
import { chooseKeepers } from "./keepers.ts";
import { createKnownVersions, type VersionRow } from "./known_versions.ts";
import { createRecentHosts } from "./recent_hosts.ts";
import { createSharedRead } from "./shared_read.ts";
import type {
  FoundVersion,
  KeeperAnswer,
  StreamVersionsHost,
} from "./types.ts";
import {
  createStreamFact,
  createVersionFact,
  getShortDigest,
  type StreamMessage,
  tryParseStreamFact,
  tryParseVersionFact,
} from "./version_facts.ts";
import { createVersionQueries } from "./version_queries.ts";
import { createVersionRecord } from "./version_record.ts";

/** The first event of a stream. */
export interface FirstEvent {
  readonly service: string;
  /** The request that brought it. */
  readonly request: string;
  readonly version: string;
}

/** The versions of streams, as one host knows them. */
export interface StreamVersions extends Disposable {
  /** Must be called with all rows before a change of them is in force. */
  updateRows(rows: readonly VersionRow[]): void;
  /** Records that the first event of a stream came from that version. */
  recordBegun(stream: FirstEvent): void;
  /**
   * Finds the version of the stream that a caller takes up; `request` brought
   * its first event, and is `undefined` if the caller names none.
   */
  find(
    service: string,
    request: string | undefined,
  ): Effect.Effect<FoundVersion>;
  /** Handles a fact for all hosts. */
  receiveFact(fact: Fact): void;
  /** Handles a fact for this host alone. */
  receiveDirectFact(fact: Fact): void;
  /** Asks, ends and forgets what is due; called many times per second. */
  tick(): void;
  /** Writes the record of versions anew, as the platform has lost a part. */
  recordRestore(): void;
  /** Reads and writes the record of versions until interrupted. */
  readonly run: Effect.Effect<never>;
}

/**
 * Number of hosts that send a new version to all others at once; the rest leave
 * it to gossip.
 */
const BROADCASTERS = 3;

/**
 * Begins the name of a question for a caller that names no request; no digest
 * begins so. A number of its own follows, so that an answer to an earlier
 * question doesn't count for this one.
 */
const NO_REQUEST = "none.";

/** Limit on the questions of others that wait for the platform. */
const MAX_CONFIRMATIONS = 2_000;

/** Creates the versions of a host that knows none. */
export function createStreamVersions(
  host: StreamVersionsHost,
): StreamVersions {
  const { clock, self } = host;
  const startedMs = clock.monotonicMs();
  const own = createBegunStreams(clock);
  const told = createBegunStreams(clock);
  const known = createKnownVersions(clock);
  const outbox = createFactsOutbox(host.sendFacts);
  const queries = createVersionQueries({
    clock,
    send({ digest, service, confirmers }, peer) {
      send(peer, { kind: "ask", digest, service, from: self });
      if (!confirmers.includes(peer)) return;
      send(peer, { kind: "confirm", digest, service, from: self });
    },
  });
  const recentHosts = createRecentHosts(clock);
  let confirmations = 0;

  const record = createVersionRecord({
    clock,
    directory: host.directory,
    self,
    getHosts: () => host.getHosts().map((each) => each.peerAddress),
    getKnown: known.getAll,
    readTable: host.readTable,
    onRead: (versions) => versions.forEach(recordVersion),
    onFailure: host.onRecordFailure,
    random: host.random,
  });

  function send(peer: string, message: StreamMessage): void {
    outbox.add(peer, createStreamFact(message));
  }

  function getOtherKeepers(digest: string): readonly string[] {
    return chooseKeepers(digest, host.getHosts())
      .filter((each) => each !== self);
  }

  function tell({ digest, version }: BegunStream): void {
    for (const peer of getOtherKeepers(digest)) {
      send(peer, { kind: "begun", digest, version });
    }
  }

  function hasSeveral(service: string): boolean {
    return known.get(service).length > 1;
  }

  /** Tells what this host began while the service had one version. */
  function onVersionAdded({ service }: ServiceVersion): void {
    if (hasSeveral(service)) own.getAll(service).forEach(tell);
  }

  /** Records a version that others have seen. */
  function recordVersion(seen: ServiceVersion): void {
    if (known.record(seen)) onVersionAdded(seen);
  }

  /** A host whose table is older must know that it has to ask. */
  function publish(added: ServiceVersion): void {
    if (!hasSeveral(added.service)) return;
    const fact = createVersionFact(added, clock.wallMs());
    const addresses = host.getHosts().map((each) => each.peerAddress);
    const broadcasters = rankByRendezvous(fact.key, addresses)
      .slice(0, BROADCASTERS);
    if (broadcasters.includes(self)) host.broadcastFact(fact);
    else host.gossipFact(fact);
  }

  function getWatch(): Watch {
    return {
      hostAgeMs: clock.monotonicMs() - startedMs,
      hasReadRecord: record.isRead(),
    };
  }

  function tryGetRecorded(digest: string): string | undefined {
    return (own.tryGet(digest) ?? told.tryGet(digest))?.version;
  }

  function getAnswer(service: string, digest: string): KeeperAnswer {
    const recorded = tryGetRecorded(digest);
    if (recorded !== undefined) return { kind: "known", version: recorded };
    const [single, ...others] = known.get(service);
    const isSingle = single !== undefined && others.length === 0;
    return isSingle && hasWatched(getWatch())
      ? { kind: "single-version", version: single }
      : { kind: "not-known" };
  }

  const search = createVersionSearch({
    getVersions: known.get,
    tryGetRecorded,
    getWatch,
    platform: createSharedRead({
      clock,
      read: Effect.all([host.readTable, record.readAnew], {
        concurrency: "unbounded",
      }).pipe(Effect.map(([, onRecord]) => onRecord)),
    }),
    getKeepers: getOtherKeepers,
    getRecentHosts: () => recentHosts.getAll().filter((each) => each !== self),
    ask: queries.ask,
  });

  /** Answers once the platform has; not at all if it doesn't. */
  function confirm(stream: TakenUpStream, to: string): void {
    if (confirmations >= MAX_CONFIRMATIONS) return;
    confirmations++;
    Effect.runFork(
      search.confirm(stream).pipe(
        Effect.map((answer) => {
          const { digest } = stream;
          send(to, { kind: "answer", digest, from: self, answer });
        }),
        Effect.ignore,
        Effect.ensuring(Effect.sync(() => confirmations--)),
      ),
    );
  }

  function receive(message: StreamMessage): void {
    const { digest } = message;
    switch (message.kind) {
      case "begun": {
        const { version } = message;
        told.record({ digest, service: "", version });
        const answer = { kind: "known", version } as const;
        queries.receive(digest, { from: self, answer });
        return;
      }
      case "ask": {
        const answer = getAnswer(message.service, digest);
        send(message.from, { kind: "answer", digest, from: self, answer });
        return;
      }
      case "confirm": {
        const { service, from } = message;
        confirm({ digest, service, namesRequest: true }, from);
        return;
      }
      case "answer":
        queries.receive(digest, message);
    }
  }

  return {
    updateRows(rows) {
      const digests = new Map<string, string>();
      const getService = (name: string) =>
        getOrCreate(digests, name, () => getShortDigest(name));
      const added = known.update(
        rows.map((each) => ({ ...each, service: getService(each.service) })),
      );
      added.forEach(onVersionAdded);
      added.forEach(publish);
      record.add(added);
    },
    recordBegun({ service: serviceName, request, version }) {
      const service = getShortDigest(serviceName);
      const stream = { digest: getShortDigest(request), service, version };
      own.record(stream);
      if (hasSeveral(service)) tell(stream);
    },
    find: (serviceName, request) =>
      search.find({
        digest: request === undefined
          ? `${NO_REQUEST}${host.random()}`
          : getShortDigest(request),
        service: getShortDigest(serviceName),
        namesRequest: request !== undefined,
      }),
    receiveFact(fact) {
      const seen = tryParseVersionFact(fact, clock.wallMs());
      if (seen !== undefined) recordVersion(seen);
    },
    receiveDirectFact(fact) {
      const message = tryParseStreamFact(fact);
      if (message !== undefined) receive(message);
    },
    tick() {
      queries.tick();
      recentHosts.update(
        () => host.getHosts().map((each) => each.peerAddress),
        isTableCurrent(host.getTableAgeMs()),
      );
      own.expire();
      told.expire();
    },
    recordRestore: record.rewrite,
    run: record.run,
    [Symbol.dispose]: () => outbox[Symbol.dispose](),
  };
}
