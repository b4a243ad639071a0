/**
 * Which configuration is in force at this host. The version only rises, and the
 * first one is put in force only when this host may believe that callers have
 * not seen a newer one:
 *
 * - it read the head from the store since its start, or
 * - the store can't be reached, and a majority of the hosts that it and its
 *   peers know of, three at least, told it their versions. A version that a
 *   majority had in force is then among them.
 *
 * Failure: a host restarts empty while the store is down and reaches only a
 * host that was cut off for an hour; callers would get decisions of an old
 * configuration again. Such a host stays not ready.
 *
 * Versions are learned from other hosts' datagrams and from the store; files
 * are fetched by digest, from the hosts that told of them first.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { PlatformError } from "../platform/mod.ts";
import type { ConfigVersion, Deployment } from "../types.ts";
import type { ConfigCopy } from "./copy.ts";
import { decodeFileSet, type FileSet, getFileSetDigest } from "./load.ts";
import type { VersionRow } from "./store.ts";

/** What the watcher needs of the process. */
export interface ConfigWatcherHost {
  getHead(): Effect.Effect<VersionRow | undefined, PlatformError>;
  tryGetVersion(
    version: number,
  ): Effect.Effect<VersionRow | undefined, PlatformError>;
  tryGetFiles(
    digest: string,
  ): Effect.Effect<FileSet | undefined, PlatformError>;
  /** A verified copy from one peer; `undefined` when it has or sends none. */
  tryFetch(
    peer: string,
    requested: AnnouncedVersion,
  ): Effect.Effect<PeerCopy | undefined>;
  /** The peers in the order in which to ask them. */
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

/** A version as a datagram names it. */
export interface AnnouncedVersion {
  readonly version: number;
  readonly digest: string;
}

/** Follows the record of configurations. */
export interface ConfigWatcher {
  /** The configuration in force; `undefined` until the first one is. */
  getCurrent(): ConfigVersion | undefined;
  /** The copy in force when it has the digest. */
  tryGetCopy(digest: string): ConfigCopy | undefined;
  /** Takes in what a peer has in force; version 0 for none. */
  recordPeerVersion(claim: AnnouncedVersion, peer: string): void;
  /** Puts a version that this host itself saw accepted in force. */
  putAcceptedInForce(copy: ConfigCopy): void;
  /** Reads the head from the store and fetches what is newer. */
  poll(): Effect.Effect<void, PlatformError>;
  /** Fetches the newest version that was learned; one call at a time works. */
  catchUp(): Effect.Effect<void>;
  /** Whether a newer version than the one in force was learned. */
  isOutdated(): boolean;
}

interface Candidate extends AnnouncedVersion {
  readonly peers: Set<string>;
}

/**
 * A datagram may name a version that nobody can give; the newest few are tried
 * from the top, so that such a one does not hide the real one below it.
 */
const MAX_CANDIDATES = 8;

/** Peers asked for one version before the object store is. */
const MAX_FETCHES = 3;

/** Fewer hosts than these can't vouch for a version without the store. */
const MIN_AGREEING_PEERS = 3;

/** Makes a watcher that has seen nothing yet. */
export function createConfigWatcher(host: ConfigWatcherHost): ConfigWatcher {
  const candidates = new Map<string, Candidate>();
  const refused = new Set<string>();
  const peerVersions = new Map<string, number>();
  let current: ConfigVersion | undefined;
  let copy: ConfigCopy | undefined;
  /** Fetched, but not yet known to be what callers saw last. */
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
    if (candidates.size > MAX_CANDIDATES) {
      candidates.delete(candidates.keys().next().value!);
    }
    return added;
  }

  function receiveCopy(next: ConfigCopy): void {
    if (next.row.version <= getNewestVersion()) return;
    let deployment: Deployment;
    try {
      deployment = decodeFileSet(next.files);
    } catch (err) {
      // An older program may not know a key of a newer version. It keeps what
      // it has, and the versions after this one are still taken.
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

  /** From the peers that named it, nearest first, then from the store. */
  function fetch(
    candidate: Candidate,
  ): Effect.Effect<ConfigCopy | undefined> {
    return Effect.gen(function* () {
      const peers = host.sortPeers([...candidate.peers]);
      for (const peer of peers.slice(0, MAX_FETCHES)) {
        const fetched = yield* host.tryFetch(peer, candidate);
        if (fetched === undefined) continue;
        // A host that just started knows few others itself.
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
      // An empty host vouches for nothing: it may have forgotten a version.
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
