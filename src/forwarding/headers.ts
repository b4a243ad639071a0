/**
 * Headers that concern one connection and go no further, by the HTTP standard.
 *
 * @module
 */

/** Of a connection, or of how a body is framed on it. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "content-length",
]);

/**
 * Gives the headers that go on, name and value by turns, without those that the
 * `Connection` header names and without the body's length, which the sender of
 * the next hop sets by what it really sends.
 */
export function getForwardable(rawHeaders: readonly string[]): string[] {
  const named = getNamedByConnection(rawHeaders);
  return filterHeaders(
    rawHeaders,
    (name) => !CONNECTION_HEADERS.has(name) && !named.has(name),
  );
}

/** Keeps the headers whose lower-case name passes. */
export function filterHeaders(
  rawHeaders: readonly string[],
  isKept: (name: string) => boolean,
): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (!isKept(rawHeaders[at]!.toLowerCase())) continue;
    kept.push(rawHeaders[at]!, rawHeaders[at + 1]!);
  }
  return kept;
}

function getNamedByConnection(
  rawHeaders: readonly string[],
): ReadonlySet<string> {
  const named = new Set<string>();
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (rawHeaders[at]!.toLowerCase() !== "connection") continue;
    for (const name of rawHeaders[at + 1]!.split(",")) {
      named.add(name.trim().toLowerCase());
    }
  }
  return named;
}
