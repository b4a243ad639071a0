/**
 * Communication with the other entry hosts: membership, gossiped facts, and
 * tables fetched from them.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import {
  type Clock,
  getDigest,
  type OpenAddress,
  openAtOnce,
} from "../core/mod.ts";
import {
  createMembership,
  type Fact,
  type Member,
  type Membership,
  type MembershipOptions,
} from "../membership/mod.ts";
import {
  createDatagramCodec,
  type FetchedConfiguration,
  listenForPeers,
  openDatagrams,
  tryFetchConfiguration,
} from "../peers/mod.ts";
import { startTicker } from "./ticker.ts";
import type { EntrySettings } from "./types.ts";

/** Dependencies of the peer communication. */
export interface PeersHost {
  readonly clock: Clock;
  /** Wall-clock start time of this process, in ms. */
  readonly incarnation: number;
  random(): number;
  onMemberChanged(member: Member): void;
  onFact(fact: Fact): void;
  onDirectFact(fact: Fact): void;
  /** The encoded snapshot of the table with this name. */
  tryGetTable(name: string): Uint8Array | undefined;
  /** Called with what a tick or a message of another host has thrown. */
  onFailed(reason: string): void;
  /** Opens an address; at once if absent. */
  readonly open?: OpenAddress;
}

/** The connection to the other hosts. */
export interface Peers extends AsyncDisposable {
  readonly membership: Membership;
  /** Fetches a table from another host; `undefined` if that fails. */
  fetchTable(
    name: string,
    peerAddress: string,
  ): Promise<FetchedConfiguration | undefined>;
  /** Replaces the seed addresses from the platform and the settings. */
  setSeeds(addresses: readonly string[]): void;
  /** Number of addresses that the platform and the settings list. */
  countSeeds(): number;
  /** Probes other hosts and gossips changes until the effect is interrupted. */
  readonly run: Effect.Effect<never>;
}

/**
 * A killed host must be absent from the answers to host queries within one
 * second. It is probed within a quarter of a second and becomes suspect two
 * periods later, which removes it from the answers. It is declared dead only
 * more than a second after that, so that a short freeze of a host has no
 * lasting effect.
 */
const membershipOptions: MembershipOptions = {
  periodMs: 250,
  ackTimeoutMs: 120,
  suspectTimeoutMs: 1_200,
  indirectProbes: 2,
  maxPayloadBytes: 1_100,
};

/**
 * Key of the MAC on datagrams, and source of the fleet token. It is not secret:
 * the hosts communicate over a private network and their settings contain no
 * secret. The MAC and the token only reject stray messages.
 */
export const FLEET_NAME = "azurestile-entry";

/** Opens the sockets and starts with the seeds as the only known hosts. */
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
    onDirectFact: host.onDirectFact,
    // Versions are part of the readers' reports, one for each table.
    onConfigVersion: () => {},
    getConfigVersion: () => ({ version: 0, digest: "" }),
  }, membershipOptions);
  let isRunning = false;
  let seedCount = 0;
  const open = host.open ?? openAtOnce;
  const datagrams = await open(
    `UDP ${peerAddress}`,
    () =>
      openDatagrams(peerAddress, {
        codec: createDatagramCodec(FLEET_NAME),
        onMessage(message, sender) {
          // A host that answered before all its addresses are open would be
          // named to callers. Datagrams may be lost, and are repeated.
          if (isRunning) membership.receive(message, sender);
        },
        onFailed: (reason) => host.onFailed(reason),
      }),
  );
  const fleetToken = getDigest(FLEET_NAME);
  const server = await open(
    `TCP ${peerAddress}`,
    () =>
      listenForPeers(peerAddress, {
        fleetToken,
        onFrame: () => {},
        tryGetConfiguration: host.tryGetTable,
        countHosts: () => membership.getMembers().length,
      }),
  ).catch(async (err: unknown) => {
    // An open socket would keep the process running.
    await datagrams[Symbol.asyncDispose]();
    throw err;
  });

  function tick(): void {
    try {
      membership.tick();
    } catch (err) {
      // An uncaught exception would end the process and all its requests.
      host.onFailed(String(err));
    }
  }

  /**
   * `decide` runs only after pending input has been read. After a long
   * event-loop iteration, replies that are still unread would otherwise be
   * taken for silence of the other hosts.
   */
  const run = Effect.callback<never>(() => {
    isRunning = true;
    tick();
    const ticker = startTicker(membershipOptions.periodMs, { decide: tick });
    return Effect.sync(() => ticker[Symbol.dispose]());
  });

  return {
    membership,
    fetchTable: (name, address) =>
      tryFetchConfiguration(address, { digest: name, fleetToken }),
    setSeeds(addresses) {
      const seeds = addresses.map((address) => ({
        host: address,
        dataCentre: "",
        peerAddress: address,
      }));
      membership.setSeeds(seeds);
      seedCount = seeds.length;
    },
    countSeeds: () => seedCount,
    run,
    async [Symbol.asyncDispose]() {
      await server[Symbol.asyncDispose]();
      await datagrams[Symbol.asyncDispose]();
    },
  };
}
