/**
 * The other entry hosts: who is there, what they tell, and tables fetched from
 * them.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as Effect from "effect/Effect";
import { type Clock, getDigest } from "../core/mod.ts";
import {
  createMembership,
  type Fact,
  type Member,
  type Membership,
  type MembershipOptions,
} from "../membership/mod.ts";
import {
  createDatagramCodec,
  listenForPeers,
  openDatagrams,
  tryFetchConfiguration,
} from "../peers/mod.ts";
import { startTicker } from "./ticker.ts";
import type { EntrySettings } from "./types.ts";

/** What the peers' part needs of the process. */
export interface PeersHost {
  readonly clock: Clock;
  /** Wall milliseconds of this process's start. */
  readonly incarnation: number;
  random(): number;
  onMemberChanged(member: Member): void;
  onFact(fact: Fact): void;
  /** A table by its name, as it is passed on. */
  tryGetTable(name: string): Uint8Array | undefined;
  onTickFailed(reason: string): void;
}

/** The other hosts. */
export interface Peers extends AsyncDisposable {
  readonly membership: Membership;
  /** Gets a table from another host; `undefined` when it can't be had. */
  fetchTable(
    name: string,
    peerAddress: string,
  ): Promise<Uint8Array | undefined>;
  /** Replaces the peer addresses that the platform and the settings name. */
  setSeeds(addresses: readonly string[]): void;
  /** Probes and spreads changes; never ends. */
  readonly run: Effect.Effect<never>;
}

/**
 * A killed host must be out of the answers to callers within a second: it is
 * probed within a quarter of it, and suspect, which is enough for that, two
 * periods later. Dead after a second more, so that a short freeze costs nothing.
 */
const membershipOptions: MembershipOptions = {
  periodMs: 250,
  ackTimeoutMs: 120,
  suspectTimeoutMs: 1_200,
  indirectProbes: 2,
  maxPayloadBytes: 1_100,
};

/**
 * The hosts' network is their own, and their settings hold no secret: the code
 * on datagrams guards against stray ones only.
 */
export const FLEET_NAME = "azurestile-entry";

/** Opens the sockets and begins as a host that knows only its seeds. */
export async function openPeers(
  settings: EntrySettings,
  host: PeersHost,
): Promise<Peers> {
  const { peerAddress } = settings;
  const membership = createMembership({
    host: peerAddress,
    incarnation: host.incarnation,
    revision: 1,
    state: "alive",
    dataCentre: settings.dataCentre,
    peerAddress,
    publicAddress: settings.callerAddress,
  }, {
    clock: host.clock,
    random: host.random,
    send: (address, message) => void datagrams.send(address, message),
    onChange: host.onMemberChanged,
    onFact: host.onFact,
    // Versions travel in the readers' reports, each with its table.
    onConfigVersion: () => {},
    getConfigVersion: () => ({ version: 0, digest: "" }),
  }, membershipOptions);
  const datagrams = await openDatagrams(peerAddress, {
    codec: createDatagramCodec(FLEET_NAME),
    onMessage: membership.receive,
  });
  const fleetToken = getDigest(FLEET_NAME);
  const server = await listenForPeers(peerAddress, {
    fleetToken,
    onFrame: () => {},
    tryGetConfiguration: host.tryGetTable,
    countHosts: () => membership.getMembers().length,
  });

  function tick(): void {
    try {
      membership.tick();
    } catch (err) {
      // Thrown on, it would end the process with all its requests.
      host.onTickFailed(String(err));
    }
  }

  /** Replies that lie unread after a long turn are no silence of the others. */
  const run = Effect.callback<never>(() => {
    tick();
    const ticker = startTicker(membershipOptions.periodMs, { decide: tick });
    return Effect.sync(() => ticker[Symbol.dispose]());
  });

  return {
    membership,
    async fetchTable(name, address) {
      const fetched = await tryFetchConfiguration(address, {
        digest: name,
        fleetToken,
      });
      return fetched === undefined ? undefined : Buffer.from(fetched.content);
    },
    setSeeds(addresses) {
      const seeds = addresses.map((address) => ({
        host: address,
        dataCentre: "",
        peerAddress: address,
      }));
      membership.setSeeds(seeds);
    },
    run,
    async [Symbol.asyncDispose]() {
      await server[Symbol.asyncDispose]();
      await datagrams[Symbol.asyncDispose]();
    },
  };
}
