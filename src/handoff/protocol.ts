/**
 * The protocol by which one host hands a connection off to another: the origin
 * connects and sends a preface, a line that names the relay and tells how busy
 * the origin is; the target answers with one byte. After an accepting byte, the
 * connection carries the caller's bytes unchanged. An origin that stops tells its
 * targets so by another preface, on a connection that ends with the answer.
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

/** An origin that stops. */
export interface OriginStop extends Omit<RelayId, "number"> {
  /** Time for which it still relays, in ms. */
  readonly leftMs: number;
}

/** A connection that an origin offers. */
export interface HandoffOffer {
  readonly relay: RelayId;
  /**
   * Utilization of the origin's event loop, from 0 to 1; `undefined` from earlier
   * versions.
   */
  readonly utilization: number | undefined;
}

/** The first bytes from an origin. */
export type Preface =
  | { readonly kind: "handoff"; readonly offer: HandoffOffer }
  | { readonly kind: "stop"; readonly stop: OriginStop };

/** Begins the preface of each kind; the digit is the version of the protocol. */
const HANDOFF_WORD = "AZH3";
const STOP_WORD = "AZS2";

/** Earlier versions begin a handoff with `AZH2`, without their utilization. */
const PREFACE_PATTERN =
  /^(AZH2|AZH3|AZS2) ([\d.]{7,15}:\d{1,5}) (\d{1,15}) (\d{1,15})(?: (\d{1,3}))?\n$/;

/** Returns the preface that offers a connection. */
export function encodeHandoff(relay: RelayId, utilization: number): Buffer {
  const { origin, incarnation, number } = relay;
  const percent = Math.round(utilization * 100);
  return Buffer.from(
    `${HANDOFF_WORD} ${origin} ${incarnation} ${number} ${percent}\n`,
  );
}

/** Returns the preface that announces a stop. */
export function encodeStop(
  { origin, incarnation, leftMs }: OriginStop,
): Buffer {
  return Buffer.from(`${STOP_WORD} ${origin} ${incarnation} ${leftMs}\n`);
}

/** Reads a whole preface; `undefined` if it is none. */
export function tryDecodePreface(bytes: Buffer): Preface | undefined {
  const match = PREFACE_PATTERN.exec(bytes.toString("latin1"));
  if (match === null) return undefined;
  const [, word, origin = ""] = match;
  const incarnation = Number(match[3]);
  const value = Number(match[4]);
  const percent = match[5];
  if ((word === HANDOFF_WORD) !== (percent !== undefined)) return undefined;
  if (word === STOP_WORD) {
    return { kind: "stop", stop: { origin, incarnation, leftMs: value } };
  }
  const relay = { origin, incarnation, number: value };
  const utilization = percent === undefined ? undefined : Number(percent) / 100;
  return { kind: "handoff", offer: { relay, utilization } };
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
