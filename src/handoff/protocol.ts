/**
 * The protocol by which one host hands a connection off to another: the origin
 * connects and sends a preface, a line that names the relay; the target answers
 * with one byte. After an accepting byte, the connection carries the caller's
 * bytes unchanged.
 *
 * @module
 */

import { offsetPort, PORT_OFFSETS } from "../core/mod.ts";
import { Buffer } from "node:buffer";

/** How a target answered: it took the connection, refused it, or neither. */
export type AttemptOutcome = "taken" | "refused" | "unreachable";

/** How a host answered as the target. */
export type ReceivedOutcome = Exclude<AttemptOutcome, "unreachable">;

/**
 * Why an origin took back a connection on which nothing was passed on: it stops,
 * the target closed it, the target is no neighbour any more, or the origin is
 * calm again.
 */
export type ReturnCause = typeof RETURN_CAUSES[number];

/** All of them. */
export const RETURN_CAUSES = [
  "origin-stops",
  "target-closed",
  "target-gone",
  "calm",
] as const;

/** One connection that an origin hands off. */
export interface RelayId {
  /** Peer address of the origin. */
  readonly origin: string;
  /** Incarnation of the origin's process. */
  readonly incarnation: number;
  /** Counts the connections that this process has offered. */
  readonly number: number;
}

/** Longest preface in bytes. */
export const MAX_PREFACE_BYTES = 96;

/** The digit is the version of the protocol. */
const PREFACE_PATTERN = /^AZH2 ([\d.]+:\d+) (\d{1,15}) (\d{1,15})\n$/;

/** Returns the first bytes from the origin. */
export function encodePreface(relay: RelayId): Buffer {
  const { origin, incarnation, number } = relay;
  return Buffer.from(`AZH2 ${origin} ${incarnation} ${number}\n`);
}

/** Reads a whole preface; `undefined` if it is none. */
export function tryDecodePreface(bytes: Buffer): RelayId | undefined {
  const match = PREFACE_PATTERN.exec(bytes.toString("latin1"));
  if (match === null) return undefined;
  const [, origin = "", incarnation, number] = match;
  return {
    origin,
    incarnation: Number(incarnation),
    number: Number(number),
  };
}

/** Names the relay in log lines of both hosts. */
export function formatRelay({ origin, number }: RelayId): string {
  return `${origin}#${number}`;
}

/** The target's answer if it takes the connection. */
export const ACCEPTED = 1;

/** The target's answer if it refuses; it closes the connection. */
export const REFUSED = 0;

/**
 * Maximum time for a handoff before it is accepted, over all targets asked, in
 * ms. A quarter of the time after which callers abandon a connection on which
 * nothing is read.
 */
export const HANDOFF_TIMEOUT_MS = 250;

/** Time after which callers abandon a connection on which nothing is read. */
export const CALLER_ABANDON_MS = 1_000;

/** File descriptors of one relay: the caller's and the target's connection. */
const FDS_PER_RELAY = 2;

/** Share of a host's file descriptors that its relays may use. */
const MAX_FD_SHARE = 1 / 4;

/** Returns the address for handoffs of the host with this peer address. */
export function getHandoffAddress(peerAddress: string): string {
  return offsetPort(peerAddress, PORT_OFFSETS.handoffs);
}

/**
 * Returns how many connections a host may relay at a time; it also takes no
 * more than this from other hosts.
 */
export function getMaxHandoffs(maxFds: number): number {
  return Math.floor(maxFds * MAX_FD_SHARE / FDS_PER_RELAY);
}
