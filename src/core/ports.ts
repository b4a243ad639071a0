/**
 * Addresses, each an IP and a port: which texts are such, and the ports on which
 * the hosts of a fleet talk to each other, relative to the port of the
 * membership protocol.
 *
 * @module
 */

import { isIPv4 } from "node:net";

/** Distance of each protocol's port from that of the membership protocol. */
export const PORT_OFFSETS = {
  loadReports: 1,
  handoffs: 2,
  upstreamStats: 3,
  placements: 4,
  grants: 5,
} as const;

/** Moves the port of an address, an IP and a port. */
export function offsetPort(address: string, by: number): string {
  const [ip, port] = address.split(":");
  return `${ip}:${Number(port) + by}`;
}

const MAX_PORT = 65_535;

/** Whether the text is an IPv4 address and a port. */
export function isAddress(text: string): boolean {
  const [ip = "", port = "", ...rest] = text.split(":");
  const isPort = /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAX_PORT;
  return rest.length === 0 && isIPv4(ip) && isPort;
}

/** First byte of the networks of multicast addresses. */
const MIN_MULTICAST = 224;
const MAX_MULTICAST = 239;

const BROADCAST = "255.255.255.255";

/**
 * Whether the text is the address of one other process: 0.x.x.x means this host,
 * and a multicast or broadcast address nobody to whom one can connect.
 */
export function isDestination(text: string): boolean {
  if (!isAddress(text)) return false;
  const [ip] = text.split(":");
  const network = Number(ip!.split(".")[0]);
  const isMulticast = network >= MIN_MULTICAST && network <= MAX_MULTICAST;
  return network !== 0 && !isMulticast && ip !== BROADCAST;
}
