/**
 * Counts the bytes of a connection that its peer's kernel has not acknowledged,
 * from the kernel's table of connections. Node has no call for it.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import type { Socket } from "node:net";

/** The kernel's table of IPv4 connections, one per line (proc(5)). */
const TABLE_FILE = "/proc/self/net/tcp";

/**
 * Returns the bytes that were handed to the kernel and not acknowledged;
 * `undefined` if the connection is gone or the kernel has no such table.
 */
export async function tryCountUnacknowledged(
  socket: Socket,
): Promise<number | undefined> {
  const local = formatEndpoint(socket.localAddress, socket.localPort);
  const remote = formatEndpoint(socket.remoteAddress, socket.remotePort);
  const table = await readFile(TABLE_FILE, "latin1").catch(() => "");
  return parseUnacknowledged(table, `${local} ${remote}`);
}

/** Reads the queue of the connection with these two endpoints, in hexadecimal. */
export function parseUnacknowledged(
  table: string,
  endpoints: string,
): number | undefined {
  const at = table.indexOf(` ${endpoints} `);
  if (at < 0) return undefined;
  const [, queued = ""] = /^ \w+ (\w+):/.exec(
    table.slice(at + 1 + endpoints.length),
  ) ?? [];
  return queued === "" ? undefined : Number.parseInt(queued, 16);
}

/** The kernel writes the four bytes of an address in its own order, little-endian. */
export function formatEndpoint(address = "", port = 0): string {
  const bytes = address.split(".").toReversed();
  const ip = bytes.map((each) => toHex(Number(each), 2)).join("");
  return `${ip}:${toHex(port, 4)}`;
}

function toHex(value: number, digits: number): string {
  return value.toString(16).toUpperCase().padStart(digits, "0");
}
