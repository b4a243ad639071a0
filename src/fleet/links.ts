/**
 * The links that this host dials. A link is opened when something is to be sent
 * and closed after a time without use. Each link runs in one fiber.
 *
 * A full mesh of 390 hosts would have 152,100 links, whose heartbeats alone
 * exceed the budget for control traffic. A host needs links only to the owners
 * of the upstreams that it uses and to the parents of its counters.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { type Frame, FrameSchema } from "../generated/peer_pb.ts";
import type { Member } from "../membership/mod.ts";
import type { PeerLink } from "../peers/mod.ts";
import type { FleetHost } from "./types.ts";

/** Time without use after which a link is closed, in ms. */
export const LINK_IDLE_MS = 60_000;

/**
 * Time after the last message in which the peer may still answer, for example a
 * counter report, in ms. The link is kept open meanwhile.
 */
const RECENT_USE_MS = 5_000;

/** Events of the links, and what they ask of the fleet. */
export interface LinksHost {
  onOpen(peer: string): void;
  onFrame(peer: string, frame: Frame): void;
  /** Whether the peer owns upstreams that this host uses or waits for. */
  isNeeded(peer: string): boolean;
}

/** The set of links that this host dials. */
export interface Links {
  /** Opens the link unless it is open or being opened. */
  ensure(peer: string): void;
  isOpen(peer: string): boolean;
  /** Sends over an open link; returns false without one. */
  trySend(peer: string, frame: Frame): boolean;
  /** Closes links to dead hosts, links to outdated addresses and idle links. */
  reconcile(): void;
  getCount(): number;
}

interface LinkEntry {
  readonly link: PeerLink;
  readonly address: string;
  readonly fiber: Fiber.Fiber<never>;
  lastUsedMs: number;
}

/** Creates the set without links. */
export function createLinks(host: FleetHost, events: LinksHost): Links {
  const entries = new Map<string, LinkEntry>();

  function tryGetMember(peer: string): Member | undefined {
    const member = host.membership.getMembers()
      .find((each) => each.host === peer);
    return member?.state === "dead" ? undefined : member;
  }

  function isRecentlyUsed(peer: string): boolean {
    const lastUsedMs = entries.get(peer)?.lastUsedMs ?? -Infinity;
    return host.clock.monotonicMs() - lastUsedMs < RECENT_USE_MS;
  }

  function open(peer: string, address: string): void {
    const link = host.createLink(address, {
      clock: host.clock,
      fleetToken: host.fleetToken,
      createHello: () =>
        create(FrameSchema, {
          hello: { host: host.id, incarnation: host.incarnation },
        }),
      isInUse: () => events.isNeeded(peer) || isRecentlyUsed(peer),
      onOpen: () => events.onOpen(peer),
      onFrame: (frame) => events.onFrame(peer, frame),
      onLost: (reason) => host.onPeerLost(peer, reason),
    });
    const lastUsedMs = host.clock.monotonicMs();
    const fiber = Effect.runFork(link.run);
    entries.set(peer, { link, address, fiber, lastUsedMs });
  }

  function close(peer: string, entry: LinkEntry): void {
    entries.delete(peer);
    Effect.runFork(Fiber.interrupt(entry.fiber));
  }

  return {
    ensure(peer) {
      const entry = entries.get(peer);
      if (entry !== undefined) {
        entry.lastUsedMs = host.clock.monotonicMs();
        return;
      }
      const member = tryGetMember(peer);
      if (member !== undefined) open(peer, member.peerAddress);
    },
    isOpen: (peer) => entries.get(peer)?.link.isOpen() === true,
    trySend(peer, frame) {
      const entry = entries.get(peer);
      if (entry === undefined || !entry.link.isOpen()) return false;
      entry.lastUsedMs = host.clock.monotonicMs();
      entry.link.send(frame);
      return true;
    },
    reconcile() {
      const nowMs = host.clock.monotonicMs();
      for (const [peer, entry] of entries) {
        const member = tryGetMember(peer);
        const isIdle = nowMs - entry.lastUsedMs >= LINK_IDLE_MS &&
          !events.isNeeded(peer);
        if (member?.peerAddress === entry.address && !isIdle) continue;
        close(peer, entry);
      }
    },
    getCount: () => entries.size,
  };
}
