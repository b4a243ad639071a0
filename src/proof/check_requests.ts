/**
 * Checks of the promises about requests: compares the outcomes that callers got
 * with the runs that upstreams observed.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { Observation, PromiseLimits, Violation } from "./types.ts";

type Kind<K extends Observation["kind"]> = Extract<
  Observation,
  { readonly kind: K }
>;

/** The observations of one kind, in the order of the history. */
export function getByKind<K extends Observation["kind"]>(
  history: readonly Observation[],
  kind: K,
): readonly Kind<K>[] {
  return history.filter((each): each is Kind<K> => each.kind === kind);
}

/** Work that is not idempotent ran at most once, across all its sendings. */
export function checkAtMostOnce(
  history: readonly Observation[],
): readonly Violation[] {
  const nonIdempotentWork = new Set(
    getByKind(history, "request-sent").filter((each) => !each.idempotent)
      .map((each) => each.work),
  );
  const runs = new Map<string, Kind<"upstream-ran">[]>();
  for (const run of getByKind(history, "upstream-ran")) {
    if (!nonIdempotentWork.has(run.work)) continue;
    getOrCreate(runs, run.work, () => []).push(run);
  }
  return [...runs].filter(([, all]) => all.length > 1).map(([work, all]) => ({
    promise: "at-most-once" as const,
    atMs: all[1]!.atMs,
    what: `"${work}" ran ${all.length} times, at ${
      all.map((run) => run.upstream).join(", ")
    }`,
  }));
}

/** A request whose outcome is "not-run" did not run. */
export function checkNotRun(
  history: readonly Observation[],
): readonly Violation[] {
  const ran = new Map(
    getByKind(history, "upstream-ran").map((run) => [run.request, run]),
  );
  return getByKind(history, "request-ended").flatMap((end) => {
    const run = ran.get(end.request);
    if (end.outcome !== "not-run" || end.request === "" || run === undefined) {
      return [];
    }
    return [{
      promise: "not-run-did-not-run" as const,
      atMs: end.atMs,
      what: `"${end.request}" ended as "not-run" but ran at ${run.upstream}`,
    }];
  });
}

/** An answer is complete and belongs to the caller's request. */
export function checkCompleteAnswers(
  history: readonly Observation[],
): readonly Violation[] {
  return getByKind(history, "request-ended")
    .filter((end) => end.outcome === "answered" && end.fault !== "")
    .map((end) => ({
      promise: "whole-answer" as const,
      atMs: end.atMs,
      what: `"${end.sending}": ${end.fault}`,
    }));
}

/** Every sending ended, by an answer or by the loss of its connection. */
export function checkAlwaysEnded(
  history: readonly Observation[],
): readonly Violation[] {
  const ended = new Set(
    getByKind(history, "request-ended")
      .filter((end) => end.outcome !== "silent")
      .map((end) => end.sending),
  );
  return getByKind(history, "request-sent")
    .filter((sent) => !ended.has(sent.sending))
    .map((sent) => ({
      promise: "always-ended" as const,
      atMs: sent.atMs,
      what: `"${sent.sending}" never ended`,
    }));
}

/** A draining host completes its requests and cuts no connection. */
export function checkDrains(
  history: readonly Observation[],
): readonly Violation[] {
  const sentMs = new Map(
    getByKind(history, "request-sent").map((each) => [each.sending, each.atMs]),
  );
  const cutConnections = getByKind(history, "request-ended")
    .filter((end) => end.outcome === "cut");
  return getByKind(history, "host-asked-to-drain").flatMap((drain) => {
    const { host, atMs: fromMs } = drain;
    const untilMs = getNextStartMs(history, host, fromMs);
    return cutConnections
      .filter((end) =>
        end.host === host && end.atMs >= fromMs &&
        (sentMs.get(end.sending) ?? Infinity) < untilMs
      )
      .map((end) => ({
        promise: "drain-cuts-nothing" as const,
        atMs: end.atMs,
        what: `"${end.sending}" was cut by "${host}", which drained`,
      }));
  });
}

/** The time at which the host is next reachable again after `afterMs`. */
function getNextStartMs(
  history: readonly Observation[],
  host: string,
  afterMs: number,
): number {
  const next = getByKind(history, "host-reachable").find((each) =>
    each.host === host && each.reachable && each.atMs > afterMs
  );
  return next?.atMs ?? Infinity;
}

/**
 * One piece of work, with its resends, crashes a limited number of upstreams.
 */
export function checkCrashes(
  history: readonly Observation[],
  limits: PromiseLimits,
): readonly Violation[] {
  const byWork = new Map<string, number[]>();
  for (const crash of getByKind(history, "upstream-crashed")) {
    getOrCreate(byWork, crash.work, () => []).push(crash.atMs);
  }
  return [...byWork].flatMap(([work, crashesMs]) => {
    const timesMs = mergeUnknownCrashes(crashesMs, limits.crashKnownMs);
    const atMs = timesMs[getAllowedCrashes(history, timesMs, limits)];
    if (atMs === undefined) return [];
    return [{
      promise: "crashes-are-limited" as const,
      atMs,
      what: `"${work}" crashed upstreams ${timesMs.length} times`,
    }];
  });
}

/**
 * Merges crashes that are so close in time that the hosts could not know of one
 * before the next: they count as one.
 */
function mergeUnknownCrashes(
  crashesMs: readonly number[],
  propagationMs: number,
): readonly number[] {
  const times: number[] = [];
  for (const atMs of crashesMs) {
    const last = times.at(-1);
    if (last === undefined || atMs > last + propagationMs) times.push(atMs);
  }
  return times;
}

/** Regions that are partitioned from each other may each reach the limit. */
function getAllowedCrashes(
  history: readonly Observation[],
  timesMs: readonly number[],
  limits: PromiseLimits,
): number {
  const werePartitioned = wereRegionsPartitioned(
    history,
    timesMs[0]!,
    timesMs.at(-1)!,
  );
  return werePartitioned ? limits.crashes * 2 : limits.crashes;
}

function wereRegionsPartitioned(
  history: readonly Observation[],
  fromMs: number,
  toMs: number,
): boolean {
  let isPartitioned = false;
  for (const each of getByKind(history, "regions-cut")) {
    if (each.atMs > toMs) break;
    if (each.atMs >= fromMs && isPartitioned) return true;
    isPartitioned = each.cut;
  }
  return isPartitioned;
}

/** The service gap between backlogged teams and the waits are within bounds. */
export function checkFairness(
  history: readonly Observation[],
): readonly Violation[] {
  const gaps = getByKind(history, "gap-seen")
    .filter((seen) => seen.gap > seen.bound)
    .map((seen) => ({
      promise: "gap-is-bounded" as const,
      atMs: seen.atMs,
      what: `Gap ${seen.gap} at "${seen.service}", bound ${seen.bound}`,
    }));
  const waits = getByKind(history, "wait-seen")
    .filter((seen) => seen.waitedMs > seen.boundMs)
    .map((seen) => ({
      promise: "no-team-starves" as const,
      atMs: seen.atMs,
      what: `"${seen.team}" waited ${seen.waitedMs}, bound ${seen.boundMs} ms`,
    }));
  return [...gaps, ...waits];
}
