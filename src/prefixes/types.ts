/**
 * Types of the prefix directory: which upstreams were sent prompts with which
 * shared prefixes.
 *
 * @module
 */

import type { LoadScope } from "../load/mod.ts";

/** A prompt with a shared prefix was sent to an upstream. */
export interface Placement {
  /** Digest of the affinity key of the prefix. */
  readonly prefix: number;
  /** Digest of the upstream's id and incarnation. */
  readonly upstream: number;
}

/** One datagram with new placements. */
export interface PlacementReport {
  /**
   * `host`: of one host. `data-centre`: of the hosts of the sender's data centre.
   * `fleet`: of all hosts.
   */
  readonly scope: LoadScope;
  readonly placements: readonly Placement[];
}
