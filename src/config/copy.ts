/**
 * A configuration as one host hands it to another: its row and its files,
 * compressed. A receiver believes nothing of it but what the digest proves.
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

/** A larger copy is refused before it fills the memory. */
const MAX_COPY_BYTES = 16 * 1024 * 1024;

/** The bytes of a copy. */
export function encodeCopy(copy: ConfigCopy): Uint8Array {
  return gzipSync(JSON.stringify(copy));
}

/**
 * The copy in a peer's bytes, or `undefined` unless its files have the digest
 * and its row the version that were asked for. Failure: a peer with damaged
 * memory or an old program sends other files; without the check this host would
 * put in force what no operator declared.
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
