/**
 * The encoding in which one host sends a configuration to another: its version
 * row and its files as compressed JSON. The receiver verifies the digest.
 *
 * @module
 */

import { gunzipSync, gzipSync } from "node:zlib";
import { type FileSet, getFileSetDigest } from "./load.ts";
import type { VersionRow } from "./store.ts";

/** A version with its files. */
export interface ConfigCopy {
  readonly row: VersionRow;
  readonly files: FileSet;
}

/** Bounds the memory that decompressing a peer's copy can take, in bytes. */
const MAX_COPY_BYTES = 16 * 1024 * 1024;

/** Encodes a copy for another host. */
export function encodeCopy(copy: ConfigCopy): Uint8Array {
  return gzipSync(JSON.stringify(copy));
}

/**
 * Decodes a peer's copy; `undefined` unless its row has the version, and its
 * files the digest, that were requested. Failure prevented: a peer with damaged
 * memory or an old program sends other files, and this host would put in force
 * a configuration that no operator declared.
 */
export function tryDecodeCopy(
  bytes: Uint8Array,
  requested: { readonly version: number; readonly digest: string },
): ConfigCopy | undefined {
  try {
    const text = gunzipSync(bytes, { maxOutputLength: MAX_COPY_BYTES });
    const copy = JSON.parse(text.toString()) as ConfigCopy;
    const isRequested = copy.row.version === requested.version &&
      copy.row.digest === requested.digest &&
      getFileSetDigest(copy.files) === requested.digest;
    return isRequested ? copy : undefined;
  } catch {
    return undefined;
  }
}
