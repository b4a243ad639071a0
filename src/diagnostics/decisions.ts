/**
 * The decisions that an entry host logs. Operators rely on the names and the
 * fields; docs/OPERATIONS.md documents each of them.
 *
 * @module
 */

import type { HostDecision } from "./host_decisions.ts";
import type { PlatformDecision } from "./platform_decisions.ts";
import type { RequestDecision } from "./request_decisions.ts";
import type { UpstreamDecision } from "./upstream_decisions.ts";

/** A decision with the data that it was based on. */
export type Decision =
  | RequestDecision
  | UpstreamDecision
  | PlatformDecision
  | HostDecision;
