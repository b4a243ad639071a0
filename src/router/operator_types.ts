/**
 * Request and response bodies of the operators' endpoints, shared with the
 * operators' programs.
 *
 * @module
 */

import type { FileSet, VersionRow } from "../config/mod.ts";
import type { Member } from "../membership/mod.ts";
import type { TimelineEvent } from "../timeline/mod.ts";
import type { OwnedUpstream } from "../fleet/mod.ts";
import type { ServedTeam } from "./metrics.ts";

/** Number of a team's requests that wait at this host. */
export interface QueueStatus {
  readonly service: string;
  readonly team: string;
  readonly waiting: number;
}

/** An upstream as this host sees it. */
export interface UpstreamStatus {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
  /** Owner of the upstream's slots according to this host. */
  readonly owner: string | undefined;
}

/** Response of `GET /ops/status`. */
export interface HostStatus {
  readonly host: string;
  readonly dataCentre: string;
  readonly draining: boolean;
  /** Why the host is not ready; absent when it is. */
  readonly notReady?: string | undefined;
  readonly configVersion: number;
  readonly configDigest: string;
  readonly members: readonly Member[];
  readonly upstreams: readonly UpstreamStatus[];
  readonly owned: readonly OwnedUpstream[];
  readonly queues: readonly QueueStatus[];
  readonly teams: readonly { readonly id: string; readonly weight: number }[];
  readonly served: readonly ServedTeam[];
}

/** Response of `GET /ops/timeline`. */
export interface TimelineAnswer {
  readonly events: readonly TimelineEvent[];
  /** All events of this host with a stamp up to this one have been recorded. */
  readonly until: number;
  /** Stamp of the newest event that the host discarded; 0 for none. */
  readonly lost: number;
}

/** Response of `GET /ops/history`. */
export interface HistoryAnswer {
  readonly versions: readonly VersionRow[];
}

/** Response of `GET /ops/config`: a version and its files. */
export interface ConfigAnswer {
  /** `undefined` while the record is empty. */
  readonly row?: VersionRow | undefined;
  readonly files?: FileSet | undefined;
}

/** Body of `POST /ops/config`. */
export interface ApplyBody {
  readonly files: FileSet;
  readonly baseVersion: number;
  /** Id of the attempt, equal for its retries; generated here if absent. */
  readonly attempt?: string | undefined;
}
