/**
 * Joins the watcher of configurations to this process: what it hears from other
 * hosts, whom it asks for files, and how often it reads the store.
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

/** What the configuration's part of a router needs of the process. */
export interface ConfigurationHost {
  readonly clock: Clock;
  readonly store: ConfigStore;
  readonly fleetToken: string;
  getMembership(): Membership;
  onInForce(config: ConfigVersion): void;
  onRefused(version: number, reason: string): void;
}

/** The configuration's part of a router. */
export interface Configuration extends ConfigWatcher {
  /** Takes in the version that a datagram names. */
  receiveClaim(claim: AnnouncedVersion, peer: string): void;
  /** The bytes for a peer that asks for the version in force. */
  tryEncode(digest: string): Uint8Array | undefined;
  /** Milliseconds until this host looks at the platform again. */
  getPollMs(): number;
}

/** Makes the part; nothing is in force. */
export function createConfiguration(host: ConfigurationHost): Configuration {
  let heardMs = -Infinity;
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

  function tryFetch(peer: string, asked: AnnouncedVersion) {
    const member = host.getMembership().getMembers().find((each) =>
      each.host === peer
    );
    if (member === undefined) return Effect.succeed(undefined);
    const { digest } = asked;
    return Effect.promise(() =>
      tryFetchConfiguration(member.peerAddress, {
        digest,
        fleetToken: host.fleetToken,
      })
    ).pipe(
      Effect.map((fetched) => {
        const copy = fetched && tryDecodeCopy(fetched.content, asked);
        return copy && { copy, knownHosts: fetched!.knownHosts };
      }),
    );
  }

  /** The own data centre first: the link between regions is paid by volume. */
  function sortPeers(peers: readonly string[]): readonly string[] {
    const membership = host.getMembership();
    const own = membership.getSelf().dataCentre;
    const near = new Set(
      membership.getMembers().filter((each) => each.dataCentre === own)
        .map((each) => each.host),
    );
    return [...peers].sort((a, b) => Number(near.has(b)) - Number(near.has(a)));
  }

  /** One host of each data centre reads the store often for the others. */
  function isPicked(): boolean {
    const membership = host.getMembership();
    const self = membership.getSelf();
    const near = membership.getUsable().filter((each) =>
      each.dataCentre === self.dataCentre
    );
    const picked = tryGetOwner("poll", near.map((each) => each.host));
    return picked === self.host;
  }

  return {
    ...watcher,
    receiveClaim(claim, peer) {
      heardMs = host.clock.monotonicMs();
      watcher.recordPeerVersion(claim, peer);
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
        isDesignatedPoller: isPicked(),
        sinceLastPeerMs: host.clock.monotonicMs() - heardMs,
        random: Math.random(),
      }),
  };
}
