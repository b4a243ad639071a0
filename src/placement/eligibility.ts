/**
 * Decides which upstreams a request may use. All places that pick an upstream,
 * or send to one that was picked earlier, ask here.
 *
 * Load: while requests wait, connect or resume, operators change the allowed
 * regions and evacuate data centres, and upstreams leave, ask for a back-off or
 * start again, cold or with other software.
 *
 * Failure prevented: each place decides by the conditions that it knows of, so
 * that a request reaches an upstream that another place would have left out.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { AllowedRegions } from "../routing/mod.ts";
import type { WarmUpAllowance } from "../warmup/mod.ts";

/**
 * Why an upstream may not get a request; of several reasons, the first in this
 * order is named.
 */
export const EXCLUSIONS = [
  "gone",
  "region",
  "evacuated",
  "other-version",
  "back-off",
  "tried",
  "warming-up",
] as const;

/** Why an upstream may not get a request. */
export type Exclusion = typeof EXCLUSIONS[number];

/** What is known of one upstream when a request may be sent to it. */
export interface UpstreamFacts {
  /** Whether its registration is known and it is not leaving. */
  readonly isReady: boolean;
  /** Its region; `undefined` if nobody declares its data centre. */
  readonly region: string | undefined;
  readonly isEvacuated: boolean;
  /** Whether the request goes on with a stream of another software version. */
  readonly isOtherVersion: boolean;
  /** Whether this request was sent there before. */
  readonly wasTried: boolean;
  /** Remaining back-off that it asked this host for, in ms. */
  readonly backoffMs: number;
  /** What its warm-up allows this host now. */
  readonly warmUp: WarmUpAllowance;
}

/** What a request allows. */
export interface EligibilityRules {
  readonly allowedRegions: AllowedRegions;
  /** Whether the request can wait here until an upstream has room. */
  readonly mayWait: boolean;
}

/** Returns why the upstream may not get a request; `undefined` if it may. */
export function tryGetExclusion(
  facts: UpstreamFacts,
  { allowedRegions, mayWait }: EligibilityRules,
): Exclusion | undefined {
  if (!facts.isReady) return "gone";
  if (!isAllowed(facts.region, allowedRegions)) return "region";
  if (facts.isEvacuated) return "evacuated";
  if (facts.isOtherVersion) return "other-version";
  if (facts.backoffMs > 0) return "back-off";
  if (facts.wasTried) return "tried";
  const { warmUp } = facts;
  if (warmUp === "none") return "warming-up";
  if (warmUp === "later" && !mayWait) return "warming-up";
  return undefined;
}

function isAllowed(
  region: string | undefined,
  allowedRegions: AllowedRegions,
): boolean {
  if (allowedRegions === undefined) return true;
  return region !== undefined && allowedRegions.has(region);
}

/** The upstreams of a service, divided by whether a request may use them. */
export interface EligibleUpstreams<T> {
  readonly eligible: readonly T[];
  /** The other upstreams by reason. */
  readonly excluded: ReadonlyMap<Exclusion, readonly T[]>;
}

/** Divides the upstreams of a service. */
export function selectEligible<T>(
  upstreams: readonly T[],
  getFacts: (upstream: T) => UpstreamFacts,
  rules: EligibilityRules,
): EligibleUpstreams<T> {
  const eligible: T[] = [];
  const excluded = new Map<Exclusion, T[]>();
  for (const upstream of upstreams) {
    const exclusion = tryGetExclusion(getFacts(upstream), rules);
    if (exclusion === undefined) eligible.push(upstream);
    else getOrCreate(excluded, exclusion, () => []).push(upstream);
  }
  return { eligible, excluded };
}
