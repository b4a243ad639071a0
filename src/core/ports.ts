/**
 * The ports on which the hosts of a fleet talk to each other, relative to the
 * port of the membership protocol.
 *
 * @module
 */

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
