/**
 * Applies the decision on eligible upstreams to one request at this host, by
 * the configuration in force at that moment.
 *
 * @module
 */

import type { UpstreamEntry } from "../discovery/mod.ts";
import {
  type EligibilityRules,
  type EligibleUpstreams,
  type Exclusion,
  EXCLUSIONS,
  selectEligible,
  tryGetExclusion,
  type UpstreamFacts,
} from "../placement/mod.ts";
import type { AllowedRegions } from "../routing/mod.ts";
import {
  type Call,
  type ForwardHost,
  isQueued,
  needsProof,
  type StreamOrigin,
} from "./call.ts";
import { createNotRunRejection, type Rejected } from "./rejections.ts";
import { getBackoffRetryMs, getNoUpstreamRetryMs } from "./retry_after.ts";

/**
 * Returns the upstreams that the request may use. Unhealthy ones are left out
 * unless there are no others, or always for a request that needs a healthy one.
 */
export function getEligible(
  host: ForwardHost,
  call: Call,
): readonly UpstreamEntry[] {
  const { eligible } = divideUpstreams(host, call);
  const open = host.backoffs.limitAfterBackoff(
    eligible,
    host.health.getInFlight,
  );
  return call.progress.needsHealthy
    ? open.filter((each) => !host.health.isUnhealthy(each.id))
    : host.health.filterHealthy(open);
}

/**
 * Whether the request may still be sent to the upstream that was picked for it.
 * Asked right before the first byte.
 */
export function mayStillUse(
  host: ForwardHost,
  call: Call,
  upstream: UpstreamEntry,
): boolean {
  const facts = getFacts(host, call, upstream);
  const isCounted = call.progress.countedWarmUpOf === upstream.id;
  const exclusion = tryGetExclusion({
    ...facts,
    wasTried: false,
    warmUp: isCounted ? "now" : facts.warmUp,
  }, { allowedRegions: getAllowedRegions(host, call), mayWait: false });
  return exclusion === undefined;
}

/**
 * Whether another upstream may fetch the prefix of this request's prompt from
 * this one: it may get the request itself, is healthy and warm.
 */
export function mayFetchFrom(
  host: ForwardHost,
  call: Call,
  upstream: UpstreamEntry,
): boolean {
  const facts = getFacts(host, call, upstream);
  return tryGetExclusion(facts, getRules(host, call)) === undefined &&
    !host.warmUps.isCold(upstream) &&
    !host.health.isUnhealthy(upstream.id);
}

/**
 * Counts a request against the warm-up limit of the upstream, unless it was
 * counted when the upstream was picked. One that was warm then and is cold now
 * is counted now.
 */
export function countWarmUp(
  host: ForwardHost,
  call: Call,
  upstream: UpstreamEntry,
): void {
  const isCounted = call.progress.countedWarmUpOf === upstream.id;
  if (isCounted || !host.warmUps.isCold(upstream)) return;
  host.warmUps.take(upstream);
  call.progress.countedWarmUpOf = upstream.id;
}

function divideUpstreams(
  host: ForwardHost,
  call: Call,
): EligibleUpstreams<UpstreamEntry> {
  return selectEligible(
    host.directory.getReady(call.service),
    (upstream) => getFacts(host, call, upstream),
    getRules(host, call),
  );
}

function getRules(host: ForwardHost, call: Call): EligibilityRules {
  return {
    allowedRegions: getAllowedRegions(host, call),
    mayWait: isQueued(call),
  };
}

function getFacts(
  host: ForwardHost,
  call: Call,
  upstream: UpstreamEntry,
): UpstreamFacts {
  return {
    isReady: host.directory.isReady(upstream),
    region: host.getRegion(upstream.dataCentre),
    isEvacuated: host.getEvacuated().has(upstream.dataCentre),
    isOtherVersion: !mayGoOnAt(call.progress.origin, upstream) ||
      needsProof(call) && host.incarnations.isSuperseded(upstream),
    wasTried: call.progress.triedUpstreams.has(upstream.id),
    backoffMs: host.backoffs.getRemainingMs(upstream),
    warmUp: host.warmUps.getAllowance(upstream),
  };
}

/**
 * Whether a stream of that origin may go on at the upstream. Where it began at
 * a version that no entry names, nobody can tell.
 */
function mayGoOnAt(
  origin: StreamOrigin | undefined,
  upstream: UpstreamEntry,
): boolean {
  if (origin === undefined) return true;
  const { softwareVersion } = origin;
  return softwareVersion !== undefined &&
    softwareVersion === upstream.softwareVersion;
}

/**
 * Returns the regions that the request's route and team allow now. A route that
 * was removed meanwhile keeps those that it had.
 */
function getAllowedRegions(host: ForwardHost, call: Call): AllowedRegions {
  const { req } = call;
  const routes = host.tryGetRoutes()!;
  const route = routes.tryGetRoute(req.headers.host ?? "", req.url ?? "/");
  return routes.getAllowedRegions(route ?? call.route, call.team);
}

/**
 * Creates the rejection of a request that no upstream may get now and that has
 * not run.
 */
export function createUnavailable(host: ForwardHost, call: Call): Rejected {
  const { excluded } = divideUpstreams(host, call);
  const backoffMs = getLeastBackoffMs(host, excluded.get("back-off") ?? []);
  // An upstream that was only tried may accept the caller's next attempt.
  if (backoffMs !== undefined && !excluded.has("tried")) {
    const reason =
      `All upstreams of "${call.service}" have asked clients to back off`;
    return createNotRunRejection(
      reason,
      getBackoffRetryMs(backoffMs, host.random()),
    );
  }
  const reason = describeUnavailable(call.service, excluded);
  return createNotRunRejection(reason, getNoUpstreamRetryMs(host.random()));
}

/** The shortest back-off of the upstreams; `undefined` without any. */
function getLeastBackoffMs(
  host: ForwardHost,
  upstreams: readonly UpstreamEntry[],
): number | undefined {
  if (upstreams.length === 0) return undefined;
  return Math.min(...upstreams.map(host.backoffs.getRemainingMs));
}

/** Texts that describe excluded upstreams, after their number. */
const exclusionTexts: Readonly<Record<Exclusion, string>> = {
  gone: "leaving",
  region: "outside the allowed regions",
  evacuated: "in evacuated data centres",
  "other-version": "of another software version than the stream",
  "back-off": "in back-off",
  tried: "tried before",
  "warming-up": "warming up, with no request due from this host",
};

function describeUnavailable(
  service: string,
  excluded: EligibleUpstreams<UpstreamEntry>["excluded"],
): string {
  if (excluded.size === 0) return `No upstream of "${service}" is ready`;
  if (excluded.size === 1 && excluded.has("tried")) {
    return `All ready upstreams of "${service}" have failed this request`;
  }
  const texts = EXCLUSIONS.filter((each) => excluded.has(each))
    .map((each) => `${excluded.get(each)!.length} ${exclusionTexts[each]}`);
  return `No upstream of "${service}" may be used: ${texts.join(", ")}`;
}
