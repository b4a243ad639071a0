/**
 * Removes hop-by-hop headers, which by the HTTP standard apply to one
 * connection and are not forwarded.
 *
 * @module
 */

/** Headers that apply to one connection, or to the framing of a body on it. */
const HOP_BY_HOP_HEADERS = new Set([
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
 * Returns the end-to-end headers, as alternating names and values. Removes
 * hop-by-hop headers, the headers named by `Connection`, and `Content-Length`,
 * which the sender on the next hop sets to the length actually sent.
 */
export function getEndToEndHeaders(rawHeaders: readonly string[]): string[] {
  const named = getConnectionOptions(rawHeaders);
  return filterHeaders(
    rawHeaders,
    (name) => !HOP_BY_HOP_HEADERS.has(name) && !named.has(name),
  );
}

/** Returns the headers whose lower-case name satisfies the predicate. */
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

function getConnectionOptions(
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
