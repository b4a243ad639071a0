/**
 * The links that this host dials: opened when something is to be sent, closed
 * when unused for long. One fiber for each link.
 *
 * A full mesh of 390 hosts would be 152,100 links, whose pings alone exceed the
 * control budget; a host needs only the owners that it asks and the parents of
 * its counters.
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

/** A link that nobody used for so long is closed, in ms. */
export const LINK_IDLE_MS = 60_000;

/** What was sent so lately may still be answered: counters, for one. */
const RECENT_USE_MS = 5_000;

/** What the links tell the fleet. */
export interface LinksHost {
  onOpen(peer: string): void;
  onFrame(peer: string, frame: Frame): void;
  /** Whether the peer owns slots that are used or asked for here. */
  isNeeded(peer: string): boolean;
}

/** The links that this host dials. */
export interface Links {
  /** Opens the link unless it is open or opening. */
  ensure(peer: string): void;
  isOpen(peer: string): boolean;
  /** Sends over an open link; false without one. */
  trySend(peer: string, frame: Frame): boolean;
  /** Closes links to dead hosts, to old addresses, and idle ones. */
  reconcile(): void;
  getCount(): number;
}

interface LinkEntry {
  readonly link: PeerLink;
  readonly address: string;
  readonly fiber: Fiber.Fiber<never>;
  lastUsedMs: number;
}

/** Makes the set of links, all closed. */
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
      isNeeded: () => events.isNeeded(peer) || isRecentlyUsed(peer),
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
