/**
 * The pacing of each upstream at this host: limits on prefill tokens, and
 * weights in the ranking of prompts. Hosts of a small fleet, and upstreams
 * without samples, use the limit of the service and the weight 1.
 *
 * Load: 600 upstreams, of which some restart or leave at any time.
 *
 * Failures prevented:
 * - The slow upstreams of a service reduce the limit of the fast ones, and the
 *   shortest target of the service limits prompts with longer ones.
 * - A restarted upstream is judged by the samples of its former process.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import {
  getInstanceName,
  type UpstreamDirectory,
  type UpstreamEntry,
} from "../discovery/mod.ts";
import { isFullMesh, type StatsByUpstream } from "../load/mod.ts";
import {
  createUpstreamPacing,
  hasSamples,
  type PacingRecorder,
  type UpstreamPacing,
  type UpstreamStats,
} from "../pacing/mod.ts";
import type { ReadingLimit, UpstreamWeight } from "./metrics_types.ts";
import { createReadingLimitDecision } from "./reading_limit_decision.ts";
import type { ServicePacings } from "./service_pacings.ts";

/** Dependencies of the pacings. */
export interface UpstreamPacingsHost {
  readonly clock: Clock;
  readonly services: ServicePacings;
  readonly directory: Pick<UpstreamDirectory, "tryGet" | "getReady">;
  /** Number of the hosts that are alive, this one included. */
  countHosts(): number;
  getDigest(name: string): number;
  /** Returns what the other hosts have learned about the upstream. */
  getOthersStats(digest: number): UpstreamStats;
  log(decision: Decision): void;
}

/** The pacings of one host. */
export interface UpstreamPacings {
  /** Returns the recorder of samples for the upstream and its service. */
  getRecorder(upstream: UpstreamEntry): PacingRecorder;
  /**
   * Returns the limit of prefill tokens in flight at an upstream for a prompt
   * with this target in ms; without an upstream, the limit of the service.
   */
  getLimitTokens(
    service: string,
    upstream: string | undefined,
    targetMs: number,
  ): number;
  /**
   * Returns the limit of the upstream for the longest target for which it was
   * asked recently.
   */
  getUpstreamLimitTokens(upstream: UpstreamEntry): number;
  /** Returns the weight in the ranking of prompts. */
  getWeight(upstream: UpstreamEntry): number;
  /** Returns the learned time to prefill a token at the upstream, in ms. */
  getMsPerToken(upstream: UpstreamEntry): number;
  /**
   * Moves limits and weights, and drops upstreams that are gone; called once
   * per second.
   */
  update(): void;
  /** Returns this host's statistics of the upstreams with samples. */
  getStats(): StatsByUpstream;
  /** Returns the limits of all services that were asked for. */
  getLimits(): readonly ReadingLimit[];
  /** Returns the weights other than 1. */
  getWeights(): readonly UpstreamWeight[];
}

/**
 * Time for which the tokens prefilled within a target are kept, in ms. They are
 * asked for in each scheduling pass for each pair of an upstream and a target.
 */
const IN_TIME_TTL_MS = 100;

interface KnownUpstream {
  readonly entry: UpstreamEntry;
  readonly digest: number;
  readonly pacing: UpstreamPacing;
}

interface InTimeTokens {
  readonly computedMs: number;
  /** By target in ms. */
  readonly tokens: Map<number, number>;
}

/** Creates the pacings of a host that knows no samples. */
export function createUpstreamPacings(
  host: UpstreamPacingsHost,
): UpstreamPacings {
  const { clock, services, directory } = host;
  const nowMs = clock.monotonicMs;
  const known = new Map<string, KnownUpstream>();
  const inTime = new Map<string, InTimeTokens>();
  let isEnabled = false;

  function getInTimeTokens(service: string, targetMs: number): number {
    let cached = inTime.get(service);
    if (!cached || nowMs() - cached.computedMs > IN_TIME_TTL_MS) {
      cached = { computedMs: nowMs(), tokens: new Map() };
      inTime.set(service, cached);
    }
    return getOrCreate(
      cached.tokens,
      targetMs,
      () => services.get(service).getInTimeTokens(targetMs),
    );
  }

  /** A restarted upstream has another incarnation, and thus another digest. */
  function getDigest(entry: UpstreamEntry): number {
    return host.getDigest(getInstanceName(entry));
  }

  function create(entry: UpstreamEntry): KnownUpstream {
    const { id, service } = entry;
    const digest = getDigest(entry);
    const pacing = createUpstreamPacing({
      nowMs,
      initialTokens: services.getLimitTokens(service),
      getInTimeTokens: (targetMs) => getInTimeTokens(service, targetMs),
      getRemoteStats: () => host.getOthersStats(digest),
      onLimitChanged: (change) =>
        host.log(createReadingLimitDecision(service, change, id)),
      onWeightChanged: ({ weight, speed, samples }) =>
        host.log({
          event: "upstream-weight-changed",
          upstream: id,
          weight: Number(weight.toFixed(3)),
          speed: Number(speed.toFixed(3)),
          samples: Math.round(samples),
        }),
    });
    return { entry, digest, pacing };
  }

  /** Whether the directory names this process of the upstream. */
  function isPresent({ id, incarnation }: UpstreamEntry): boolean {
    return directory.tryGet(id)?.incarnation === incarnation;
  }

  /** Returns the pacing of this process of the upstream. */
  function tryGet(
    { id, incarnation }: UpstreamEntry,
  ): UpstreamPacing | undefined {
    const found = known.get(id);
    if (found?.entry.incarnation !== incarnation) return undefined;
    return found.pacing;
  }

  function tryGetForSample(entry: UpstreamEntry): UpstreamPacing | undefined {
    if (!isEnabled || !isPresent(entry)) return undefined;
    const found = tryGet(entry);
    if (found !== undefined) return found;
    const created = create(entry);
    known.set(entry.id, created);
    return created.pacing;
  }

  function tryGetById(upstream: string): UpstreamPacing | undefined {
    const entry = directory.tryGet(upstream);
    return entry === undefined ? undefined : tryGet(entry);
  }

  /** Starts with upstreams of which only other hosts have samples. */
  function addLearnedElsewhere(service: string): void {
    for (const entry of directory.getReady(service)) {
      if (tryGet(entry) !== undefined) continue;
      if (!hasSamples(host.getOthersStats(getDigest(entry)))) continue;
      known.set(entry.id, create(entry));
    }
  }

  function removeGone(): void {
    for (const [id, { entry, pacing }] of known) {
      if (!isPresent(entry) || !pacing.hasSamples()) known.delete(id);
    }
  }

  function getServiceLimits(service: string): readonly ReadingLimit[] {
    const serviceTokens = services.getLimitTokens(service);
    const ascending = directory.getReady(service)
      .map((each) => tryGet(each)?.getHighestLimitTokens() ?? serviceTokens)
      .sort((a, b) => a - b);
    const getAt = (share: number) =>
      ascending[Math.floor((ascending.length - 1) * share)] ?? serviceTokens;
    return [
      { service, rank: "lowest", tokens: getAt(0) },
      { service, rank: "median", tokens: getAt(0.5) },
      { service, rank: "highest", tokens: getAt(1) },
    ];
  }

  return {
    getRecorder(upstream) {
      const service = services.get(upstream.service);
      return {
        recordFirstEvent(prefillTokens, tookMs) {
          const predictedMs = service.predictMs(prefillTokens);
          service.recordFirstEvent(prefillTokens, tookMs);
          tryGetForSample(upstream)?.recordFirstEvent(predictedMs, tookMs);
        },
        recordPause(isLate) {
          service.recordPause(isLate);
          tryGetForSample(upstream)?.recordPause(isLate);
        },
      };
    },
    getLimitTokens(service, upstream, targetMs) {
      const pacing = !isEnabled || upstream === undefined
        ? undefined
        : tryGetById(upstream);
      return pacing?.getLimitTokens(targetMs) ??
        services.getLimitTokens(service);
    },
    getUpstreamLimitTokens: (upstream) =>
      tryGet(upstream)?.getHighestLimitTokens() ??
        services.getLimitTokens(upstream.service),
    getWeight: (upstream) => tryGet(upstream)?.getWeight() ?? 1,
    getMsPerToken: (upstream) =>
      services.get(upstream.service).getMsPerToken() /
      (tryGet(upstream)?.getSpeed() ?? 1),
    update() {
      isEnabled = !isFullMesh(host.countHosts());
      if (!isEnabled) return known.clear();
      removeGone();
      for (const { service } of services.getLimits()) {
        addLearnedElsewhere(service);
      }
      for (const { pacing } of known.values()) pacing.update();
    },
    getStats: () =>
      new Map(
        [...known.values()]
          .map(({ digest, pacing }) => [digest, pacing.getStats()] as const)
          .filter(([, stats]) => hasSamples(stats)),
      ),
    getLimits: () =>
      isEnabled
        ? services.getLimits().flatMap((each) => getServiceLimits(each.service))
        : services.getLimits(),
    getWeights: () =>
      [...known.values()]
        .map(({ entry, pacing }) => ({
          upstream: entry.id,
          weight: pacing.getWeight(),
        }))
        .filter((each) => each.weight !== 1),
  };
}
