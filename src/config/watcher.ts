/**
 * Determines which configuration is in force at this host. The version never
 * decreases. The first version is put in force only after it is confirmed that
 * callers have not seen a newer one. It is confirmed when either:
 *
 * - this host read the head from the store since its start, or
 * - the store can't be reached, and a majority of the hosts that this host and
 *   its peers know of, at least three, announced their versions. Any version
 *   that a majority had in force is then among the announced ones.
 *
 * Failure prevented: a host restarts without state while the store is down and
 * reaches only a host that was partitioned for an hour. Callers would get
 * decisions of an old configuration again. Instead, such a host stays not
 * ready.
 *
 * Other hosts announce versions in datagrams; the store has them too. Files are
 * fetched by digest, first from the hosts that announced the version and then
 * from the store.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { dropOldest } from "../core/mod.ts";
import type { PlatformError } from "../platform/mod.ts";
import type { ConfigVersion, Deployment } from "../types.ts";
import type { ConfigCopy } from "./copy.ts";
import { decodeFileSet, type FileSet, getFileSetDigest } from "./load.ts";
import type { VersionRow } from "./store.ts";

/** Dependencies of the watcher that the process provides. */
export interface ConfigWatcherHost {
  getHead(): Effect.Effect<VersionRow | undefined, PlatformError>;
  tryGetVersion(
    version: number,
  ): Effect.Effect<VersionRow | undefined, PlatformError>;
  tryGetFiles(
    digest: string,
  ): Effect.Effect<FileSet | undefined, PlatformError>;
  /** Fetches a verified copy from a peer; `undefined` if it provides none. */
  tryFetch(
    peer: string,
    requested: AnnouncedVersion,
  ): Effect.Effect<PeerCopy | undefined>;
  /** Sorts peers in the order in which a copy is requested from them. */
  sortPeers(peers: readonly string[]): readonly string[];
  /** Hosts known besides this one, reachable or not. */
  countKnownPeers(): number;
  onInForce(config: ConfigVersion): void;
  onRefused(version: number, reason: string): void;
}

/** A verified copy from a peer. */
export interface PeerCopy {
  readonly copy: ConfigCopy;
  /** Hosts that the peer knows of, itself included. */
  readonly knownHosts: number;
}

/** A version that a host announces in a datagram. */
export interface AnnouncedVersion {
  readonly version: number;
  readonly digest: string;
}

/** Follows the accepted versions and puts the newest one in force. */
export interface ConfigWatcher {
  /** The configuration in force; `undefined` before the first one. */
  getCurrent(): ConfigVersion | undefined;
  /** The copy of the configuration in force, if it has the digest. */
  tryGetCopy(digest: string): ConfigCopy | undefined;
  /** Records the version that a peer has in force; 0 for none. */
  recordPeerVersion(claim: AnnouncedVersion, peer: string): void;
  /** Puts in force a version that the store accepted from this host. */
  putAcceptedInForce(copy: ConfigCopy): void;
  /** Reads the head from the store and fetches newer versions. */
  poll(): Effect.Effect<void, PlatformError>;
  /**
   * Fetches the newest announced version. A call during another one returns at
   * once.
   */
  catchUp(): Effect.Effect<void>;
  /** Whether a version newer than the one in force was announced. */
  isOutdated(): boolean;
}

interface Candidate extends AnnouncedVersion {
  readonly peers: Set<string>;
}

/**
 * A damaged datagram can announce a version that does not exist. The newest
 * candidates are tried in descending order, so that such a version does not
 * prevent the fetch of the real one.
 */
const MAX_CANDIDATES = 8;

/** Peers tried for one version before its files are read from the store. */
const MAX_FETCHES = 3;

/** Peers that must announce their versions to confirm one without the store. */
const MIN_AGREEING_PEERS = 3;

/** Makes a watcher without a configuration. */
export function createConfigWatcher(host: ConfigWatcherHost): ConfigWatcher {
  const candidates = new Map<string, Candidate>();
  const refused = new Set<string>();
  const peerVersions = new Map<string, number>();
  let current: ConfigVersion | undefined;
  let copy: ConfigCopy | undefined;
  /** Fetched, but callers may have seen a newer version. */
  let unconfirmed: { copy: ConfigCopy; deployment: Deployment } | undefined;
  let headVersion: number | undefined;
  let reportedPeerCount = 0;
  let isFetching = false;

  function getNewestVersion(): number {
    return current?.version ?? unconfirmed?.copy.row.version ?? 0;
  }

  function addCandidate(announced: AnnouncedVersion): Candidate | undefined {
    if (announced.version <= getNewestVersion()) return undefined;
    if (refused.has(announced.digest)) return undefined;
    const key = `${announced.version}/${announced.digest}`;
    const known = candidates.get(key);
    if (known !== undefined) return known;
    const added = { ...announced, peers: new Set<string>() };
    candidates.set(key, added);
    dropOldest(candidates, MAX_CANDIDATES);
    return added;
  }

  function receiveCopy(next: ConfigCopy): void {
    if (next.row.version <= getNewestVersion()) return;
    let deployment: Deployment;
    try {
      deployment = decodeFileSet(next.files);
    } catch (err) {
      // An older program may not know a key of a newer version. It keeps the
      // configuration in force and still accepts later versions.
      refused.add(next.row.digest);
      host.onRefused(next.row.version, String(err));
      return;
    }
    unconfirmed = { copy: next, deployment };
    putInForceIfConfirmed();
  }

  function putInForceIfConfirmed(): void {
    if (unconfirmed === undefined) return;
    const { copy: next, deployment } = unconfirmed;
    if (current === undefined && !isConfirmed(next.row.version)) return;
    unconfirmed = undefined;
    peerVersions.clear();
    current = { ...next.row, deployment };
    copy = next;
    for (const [key, candidate] of candidates) {
      if (candidate.version <= next.row.version) candidates.delete(key);
    }
    host.onInForce(current);
  }

  function isConfirmed(version: number): boolean {
    if (headVersion !== undefined) return version >= headVersion;
    const peers = Math.max(host.countKnownPeers(), reportedPeerCount);
    return [...peerVersions.values()].every((each) => each <= version) &&
      peerVersions.size >= MIN_AGREEING_PEERS &&
      peerVersions.size > peers / 2;
  }

  /**
   * Fetches a version from the peers that announced it, then from the store.
   */
  function fetch(
    candidate: Candidate,
  ): Effect.Effect<ConfigCopy | undefined> {
    return Effect.gen(function* () {
      const peers = host.sortPeers([...candidate.peers]);
      for (const peer of peers.slice(0, MAX_FETCHES)) {
        const fetched = yield* host.tryFetch(peer, candidate);
        if (fetched === undefined) continue;
        // This host may have just started and know of few others.
        reportedPeerCount = Math.max(reportedPeerCount, fetched.knownHosts - 1);
        return fetched.copy;
      }
      return yield* fetchFromStore(candidate).pipe(
        Effect.catchTag("PlatformError", () => Effect.succeed(undefined)),
      );
    });
  }

  function fetchFromStore(
    candidate: Candidate,
  ): Effect.Effect<ConfigCopy | undefined, PlatformError> {
    return Effect.gen(function* () {
      const row = yield* host.tryGetVersion(candidate.version);
      if (row?.digest !== candidate.digest) return undefined;
      const files = yield* host.tryGetFiles(row.digest);
      if (files === undefined) return undefined;
      return getFileSetDigest(files) === row.digest
        ? { row, files }
        : undefined;
    });
  }

  function getNewestFirst(): readonly Candidate[] {
    return [...candidates.values()].sort((a, b) => b.version - a.version);
  }

  const fetchNewest = Effect.gen(function* () {
    for (const candidate of getNewestFirst()) {
      if (candidate.version <= getNewestVersion()) continue;
      const fetched = yield* fetch(candidate);
      if (fetched === undefined) continue;
      receiveCopy(fetched);
      if (refused.has(candidate.digest)) {
        candidates.delete(`${candidate.version}/${candidate.digest}`);
      }
    }
  });

  function isOutdated(): boolean {
    return [...candidates.values()].some((each) =>
      each.version > getNewestVersion()
    );
  }

  function catchUp(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (isFetching || !isOutdated()) return Effect.void;
      isFetching = true;
      return fetchNewest.pipe(
        Effect.ensuring(Effect.sync(() => isFetching = false)),
      );
    });
  }

  return {
    getCurrent: () => current,
    tryGetCopy: (digest) => copy?.row.digest === digest ? copy : undefined,
    recordPeerVersion(claim, peer) {
      // Version 0 confirms nothing: the peer may have lost its state in a
      // restart.
      if (current === undefined && claim.version > 0) {
        peerVersions.set(
          peer,
          Math.max(claim.version, peerVersions.get(peer) ?? 0),
        );
      }
      addCandidate(claim)?.peers.add(peer);
      putInForceIfConfirmed();
    },
    putAcceptedInForce(accepted) {
      headVersion = Math.max(headVersion ?? 0, accepted.row.version);
      receiveCopy(accepted);
    },
    poll: () =>
      Effect.gen(function* () {
        const head = yield* host.getHead();
        headVersion = Math.max(headVersion ?? 0, head?.version ?? 0);
        if (head !== undefined) addCandidate(head);
        putInForceIfConfirmed();
        yield* catchUp();
      }),
    catchUp,
    isOutdated,
  };
}
