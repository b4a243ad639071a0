/**
 * Compresses what hosts fetch from one another: configurations and tables.
 *
 * Load: eighty hosts fetch a table of 400 KB from the few that read it, over the
 * link between two regions. Failure prevented: the copies fill the link, no
 * fetch ends within its time-out, and all hosts begin again. Such a table
 * shrinks to a tenth.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { promisify } from "node:util";
import { constants, gunzip, gzip } from "node:zlib";

/** Contents up to this size are sent as they are, in bytes. */
const MIN_COMPRESSED_BYTES = 1_000;

/**
 * Larger contents are sent as they are, in bytes: a slow host would compress them
 * for a good part of the time that a fetch may take.
 */
const MAX_COMPRESSED_BYTES = 4_000_000;

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** The compressed form of contents that were fetched before. */
const compressed = new WeakMap<Uint8Array, Promise<Buffer>>();

/** Whether it is worthwhile to compress the content. */
export function isCompressible(content: Uint8Array): boolean {
  const { length } = content;
  return length > MIN_COMPRESSED_BYTES && length <= MAX_COMPRESSED_BYTES;
}

/** Compresses the content by gzip, once for as long as it is kept. */
export function getCompressed(content: Uint8Array): Promise<Buffer> {
  const known = compressed.get(content);
  if (known !== undefined) return known;
  const result = compress(content, { level: constants.Z_BEST_SPEED });
  compressed.set(content, result);
  return result;
}

/**
 * Decompresses a content. Rejects if it is damaged, or larger than `maxBytes`
 * once decompressed.
 */
export function getDecompressed(
  content: Uint8Array,
  maxBytes: number,
): Promise<Buffer> {
  return decompress(content, { maxOutputLength: maxBytes });
}
