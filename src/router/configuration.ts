/**
 * Connects the configuration watcher to this process: versions that other hosts
 * announce, peers from which files are fetched, and how often the platform is
 * polled.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import {
  type AnnouncedVersion,
  type ConfigStore,
  type ConfigWatcher,
  createConfigWatcher,
  encodeCopy,
  getPollMs,
  tryDecodeCopy,
} from "../config/mod.ts";
import type { Clock } from "../core/mod.ts";
import { type Membership, tryGetOwner } from "../membership/mod.ts";
import { tryFetchConfiguration } from "../peers/mod.ts";
import type { ConfigVersion } from "../types.ts";

/** Dependencies of the configuration, supplied by the process. */
export interface ConfigurationHost {
  readonly clock: Clock;
  readonly store: ConfigStore;
  readonly fleetToken: string;
  getMembership(): Membership;
  onInForce(config: ConfigVersion): void;
  onRefused(version: number, reason: string): void;
}

/** Configuration watcher of one router, with its peers and its poll period. */
export interface Configuration extends ConfigWatcher {
  /** Handles a version that a peer announced in a datagram. */
  receiveAnnouncement(announced: AnnouncedVersion, peer: string): void;
  /** Returns the encoded copy for a peer that requests the digest. */
  tryEncode(digest: string): Uint8Array | undefined;
  /** Milliseconds until this host polls the platform again. */
  getPollMs(): number;
}

/** Creates the configuration of one router; no version is in force. */
export function createConfiguration(host: ConfigurationHost): Configuration {
  let lastAnnouncementMs = -Infinity;
  let encoded: { digest: string; bytes: Uint8Array } | undefined;

  const watcher = createConfigWatcher({
    getHead: host.store.getHead,
    tryGetVersion: host.store.tryGetVersion,
    tryGetFiles: host.store.tryGetFiles,
    tryFetch,
    sortPeers,
    countKnownPeers: () => host.getMembership().getMembers().length - 1,
    onInForce: host.onInForce,
    onRefused: host.onRefused,
  });

  function tryFetch(peer: string, announced: AnnouncedVersion) {
    const member = host.getMembership().getMembers().find((each) =>
      each.host === peer
    );
    if (member === undefined) return Effect.succeed(undefined);
    const { digest } = announced;
    return Effect.promise(() =>
      tryFetchConfiguration(member.peerAddress, {
        digest,
        fleetToken: host.fleetToken,
      })
    ).pipe(
      Effect.map((fetched) => {
        const copy = fetched && tryDecodeCopy(fetched.content, announced);
        return copy && { copy, knownHosts: fetched!.knownHosts };
      }),
    );
  }

  /**
   * Peers of this data centre first: cross-region traffic is paid by volume.
   */
  function sortPeers(peers: readonly string[]): readonly string[] {
    const membership = host.getMembership();
    const own = membership.getSelf().dataCentre;
    const sameDataCentre = new Set(
      membership.getMembers().filter((each) => each.dataCentre === own)
        .map((each) => each.host),
    );
    return [...peers].sort((a, b) =>
      Number(sameDataCentre.has(b)) - Number(sameDataCentre.has(a))
    );
  }

  /**
   * True for the one host of each data centre that polls the platform often.
   */
  function isDesignatedPoller(): boolean {
    const membership = host.getMembership();
    const self = membership.getSelf();
    const sameDataCentre = membership.getUsable().filter((each) =>
      each.dataCentre === self.dataCentre
    );
    const designated = tryGetOwner(
      "poll",
      sameDataCentre.map((each) => each.host),
    );
    return designated === self.host;
  }

  return {
    ...watcher,
    receiveAnnouncement(announced, peer) {
      lastAnnouncementMs = host.clock.monotonicMs();
      watcher.recordPeerVersion(announced, peer);
      if (watcher.isOutdated()) Effect.runFork(watcher.catchUp());
    },
    tryEncode(digest) {
      const copy = watcher.tryGetCopy(digest);
      if (copy === undefined) return undefined;
      if (encoded?.digest !== digest) {
        encoded = { digest, bytes: encodeCopy(copy) };
      }
      return encoded.bytes;
    },
    getPollMs: () =>
      getPollMs({
        hasVersion: watcher.getCurrent() !== undefined,
        isDesignatedPoller: isDesignatedPoller(),
        sinceLastPeerMs: host.clock.monotonicMs() - lastAnnouncementMs,
        random: Math.random(),
      }),
  };
}
