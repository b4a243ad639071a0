/**
 * Connects this host's requests for grants and its grants as an owner to those
 * of the other hosts, by datagrams.
 *
 * Load: thousands of requests and answers per second over the fleet. Failure
 * prevented: a datagram for each would use up much of a slow core. All items for
 * a host from one event-loop iteration share a datagram; this host's own need
 * none.
 *
 * @module
 */

import { offsetPort, PORT_OFFSETS } from "../core/mod.ts";
import {
  createGrantClient,
  createGrantOutbox,
  createGrantOwner,
  type GrantClientHost,
  type GrantItem,
  type GrantMessage,
  type GrantOwnerHost,
  type GrantOwners,
} from "../grants/mod.ts";
import type { OwnerItem, RequesterItem } from "../grants/types.ts";
import {
  createGrantCodec,
  type DatagramSocket,
  openDatagrams,
} from "../peers/mod.ts";
import { defaultPromptQueueOptions, type PromptGrants } from "../queue/mod.ts";
import type { GrantUpstreams } from "./grant_upstreams.ts";
import { FLEET_NAME } from "./peers.ts";

/** Dependencies of the exchange. */
export interface GrantExchangeHost
  extends
    Pick<GrantClientHost, "nowMs" | "getDigest" | "start" | "onEnded">,
    Pick<GrantOwnerHost, "getServiceLevel"> {
  /** Whether the team with this digest gets far less than others. */
  isUnderserved(team: number): boolean;
  /** Called with the reason if a message could not be sent or processed. */
  onFailed(reason: string): void;
  readonly peerAddress: string;
  /** Identifies this run of the process; 32 bits. */
  readonly session: number;
  readonly owners: GrantOwners;
  readonly upstreams: Pick<GrantUpstreams, "tryGet" | "tryGetDigest">;
}

/** The grants of one host, as a requester and as an owner. */
export interface GrantExchange extends AsyncDisposable {
  /** For the queue of this host. */
  readonly client: PromptGrants;
  /** Opens the socket. */
  open(): Promise<void>;
  /** Called a hundred times per second. */
  tick(): void;
  /** Requests that wait at this host as an owner. */
  countWaiting(): number;
}

function isOwnerItem(item: GrantItem): item is OwnerItem {
  return item.kind === "grant" || item.kind === "waiting";
}

/** Creates the exchange; messages to other hosts wait until it is open. */
export function createGrantExchange(host: GrantExchangeHost): GrantExchange {
  const { nowMs, peerAddress, session, owners, upstreams } = host;
  const { limit, inefficientLimit, overShareLimit, underservedFactors } =
    defaultPromptQueueOptions;
  const slotShares = [limit, inefficientLimit, overShareLimit]
    .map((each) => each.slotShare);
  const outbox = createGrantOutbox();
  let socket: DatagramSocket<GrantMessage> | undefined;
  let pendingFlush: NodeJS.Immediate | undefined;

  function add(to: string, ofSession: number, item: GrantItem): void {
    outbox.add(to, ofSession, item);
    pendingFlush ??= setImmediate(flush);
  }

  const owner = createGrantOwner({
    nowMs,
    getSlotShare({ yields, team }) {
      const share = slotShares[yields]!;
      return host.isUnderserved(team)
        ? share * underservedFactors.slotShare
        : share;
    },
    tryGetUpstream: upstreams.tryGet,
    getServiceLevel: host.getServiceLevel,
    send: (to, item) => add(to.address, to.session, item),
  });
  const client = createGrantClient({
    nowMs,
    isEnabled: owners.isEnabled,
    tryGetOwner: owners.tryGetOwner,
    tryGetUpstreamDigest: upstreams.tryGetDigest,
    getDigest: host.getDigest,
    send: (to, item) => add(to, session, item),
    start: host.start,
    onEnded: host.onEnded,
  });

  function receive(from: string, message: GrantMessage): void {
    const forOwner = message.items.filter((each): each is RequesterItem =>
      !isOwnerItem(each)
    );
    if (forOwner.length > 0) {
      owner.receive({ address: from, session: message.session }, forOwner);
    }
    if (message.session !== session) return;
    const answers = message.items.filter(isOwnerItem);
    if (answers.length > 0) client.receive(from, answers);
  }

  function flush(): void {
    pendingFlush = undefined;
    for (const { to, message } of outbox.takeMessages()) {
      try {
        if (to === peerAddress) receive(to, message);
        else socket?.send(offsetPort(to, PORT_OFFSETS.grants), message);
      } catch (err) {
        // An uncaught exception would end the process and all its requests.
        host.onFailed(String(err));
      }
    }
  }

  return {
    client,
    async open() {
      socket = await openDatagrams<GrantMessage>(
        offsetPort(peerAddress, PORT_OFFSETS.grants),
        {
          codec: createGrantCodec(FLEET_NAME),
          onMessage: (message, sender) =>
            receive(offsetPort(sender, -PORT_OFFSETS.grants), message),
          onFailed: host.onFailed,
        },
      );
    },
    tick() {
      owner.tick();
      client.tick();
    },
    countWaiting: owner.countWaiting,
    async [Symbol.asyncDispose]() {
      clearImmediate(pendingFlush);
      await socket?.[Symbol.asyncDispose]();
    },
  };
}
