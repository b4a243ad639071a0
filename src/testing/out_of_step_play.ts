/**
 * Plays entry hosts in virtual time that are cut off, stand still, start anew
 * or lose the platform while versions of upstreams join and go, and callers that
 * take their streams up at any of them.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { createRandom } from "../measure/random.ts";
import type { FoundVersion } from "../stream_versions/mod.ts";
import {
  createPlatformViewFleet,
  type PlatformViewFleet,
  runFleet,
} from "./platform_view_fleet.ts";

/** What came of the streams that were taken up. */
export interface OutOfStepResult {
  readonly taken: number;
  /** Streams that went on. */
  readonly wentOn: number;
  /** What went on at another version: where, and how that was decided. */
  readonly mixed: readonly string[];
}

interface BegunAt {
  readonly request: string;
  readonly version: string;
  readonly host: string;
}

const SERVICE = "model";

const HOSTS = 5;

/** Number of releases, each of which replaces the version by another. */
const RELEASES = 3;

/**
 * Time for which one version has served alone before the next joins, in ms: no
 * host remembers another one.
 */
const CALM_MS = 40_000;

/** Time from the first fault of a release to the end of its faults, in ms. */
const RELEASE_MS = 8_000;

/** Longest time from a stream's beginning until it is taken up, in ms. */
const MAX_STREAM_MS = 2_000;

const STEP_MS = 100;

/** Chances of each within one step. */
const FAULT_RATE = 0.2;
const JOIN_RATE = 0.05;
const LEAVE_RATE = 0.03;
const BEGIN_RATE = 0.6;

/** Plays the seed. */
export async function playOutOfStep(seed: number): Promise<OutOfStepResult> {
  const fleet = createPlatformViewFleet({ hosts: HOSTS, seed });
  const play = createPlay(fleet, seed);
  await runFleet(Effect.gen(function* () {
    fleet.tables.putConfig(1);
    fleet.tables.putUpstreams(["one"]);
    yield* fleet.start;
    for (let release = 0; release < RELEASES; release++) {
      yield* fleet.run(CALM_MS);
      for (let ms = 0; ms < RELEASE_MS; ms += STEP_MS) {
        yield* play.step;
        yield* fleet.run(STEP_MS);
      }
      yield* play.end;
    }
  }));
  return play.result;
}

function createPlay(fleet: PlatformViewFleet, seed: number) {
  const random = createRandom(seed);
  const mixed: string[] = [];
  const result = { taken: 0, wentOn: 0, mixed };
  const ongoing: { untilMs: number; end: Effect.Effect<void> }[] = [];
  const upstreams = new Map([["one", "v1"]]);
  let version = 1;
  let made = 1;
  let begun = 0;
  const pick = <T>(list: readonly T[]): T =>
    list[Math.floor(random() * list.length)]!;

  function join(): void {
    made++;
    const id = `upstream-${made}`;
    upstreams.set(id, `v${version + 1}`);
    fleet.tables.addUpstream(id, `v${version + 1}`);
  }

  function leave(id: string): void {
    if (upstreams.size < 2) return;
    upstreams.delete(id);
    fleet.tables.removeUpstream(id);
  }

  /** Removes the upstreams of the version before. */
  function replaceVersion(): void {
    join();
    const former = [...upstreams].filter(([, each]) => each === `v${version}`);
    former.forEach(([id]) => leave(id));
    version++;
  }

  const setAway = (hosts: readonly string[], isAway: boolean) =>
    hosts.forEach((each) =>
      fleet.tables.setTreatment(each, isAway ? "silent" : "served")
    );

  /** Begins one fault; returns what ends it. */
  function beginFault(): Effect.Effect<void> {
    const host = pick(fleet.hosts);
    const side = fleet.hosts.filter(() => random() < 0.4);
    switch (pick(["cut", "cut-away", "still", "away", "down", "kill"])) {
      case "cut":
        fleet.setCut(side, true);
        return Effect.sync(() => fleet.setCut([], false));
      case "cut-away":
        fleet.setCut(side, true);
        setAway(side, true);
        return Effect.sync(() => {
          fleet.setCut([], false);
          setAway(side, false);
        });
      case "still":
        fleet.setSuspended(host, true);
        return Effect.sync(() => fleet.setSuspended(host, false));
      case "away":
        setAway(side, true);
        return Effect.sync(() => setAway(side, false));
      case "down":
        setAway(fleet.hosts, true);
        return Effect.sync(() => setAway(fleet.hosts, false));
      default:
        return Effect.andThen(fleet.killHost(host), fleet.startHost(host));
    }
  }

  function beginStream(): void {
    const host = pick(fleet.hosts);
    const view = fleet.tryGetView(host);
    if (view === undefined || fleet.isSuspended(host)) return;
    const ready = view.directory.getReady(SERVICE);
    if (ready.length === 0) return;
    const version = pick(ready).softwareVersion!;
    const request = `r-${begun++}`;
    const stream = { service: SERVICE, request, version };
    fleet.tryGetStreams(host)!.recordBegun(stream);
    const untilMs = fleet.nowMs() + random() * MAX_STREAM_MS;
    const end = Effect.suspend(() => takeUp({ request, version, host }));
    ongoing.push({ untilMs, end });
  }

  function takeUp(stream: BegunAt): Effect.Effect<void> {
    const host = pick(fleet.hosts);
    const streams = fleet.tryGetStreams(host);
    if (streams === undefined || fleet.isSuspended(host)) return Effect.void;
    return Effect.forkDetach(
      streams.find(SERVICE, stream.request).pipe(
        Effect.map((found) => record(stream, host, found)),
      ),
    ).pipe(Effect.asVoid);
  }

  function record(stream: BegunAt, host: string, found: FoundVersion): void {
    result.taken++;
    if (found.kind !== "found") return;
    result.wentOn++;
    if (found.version === stream.version) return;
    mixed.push(
      JSON.stringify({ seed, atMs: fleet.nowMs(), stream, host, found }),
    );
  }

  const endUntil = (ms: number) =>
    Effect.suspend(() => {
      const due = ongoing.filter((each) => each.untilMs <= ms);
      due.forEach((each) => ongoing.splice(ongoing.indexOf(each), 1));
      return Effect.forEach(due, (each) => each.end, { discard: true });
    });

  let hasFault = false;

  const tryFault = Effect.suspend(() => {
    if (hasFault || random() >= FAULT_RATE) return Effect.void;
    hasFault = true;
    const end = beginFault();
    const lastsMs = 300 + random() * 5_000;
    ongoing.push({
      untilMs: fleet.nowMs() + lastsMs,
      end: Effect.suspend(() => {
        hasFault = false;
        return end;
      }),
    });
    return Effect.void;
  });

  return {
    result,
    step: Effect.suspend(() => {
      if (random() < JOIN_RATE) join();
      if (random() < LEAVE_RATE) leave(pick([...upstreams.keys()]));
      if (random() < BEGIN_RATE) beginStream();
      return Effect.andThen(tryFault, endUntil(fleet.nowMs()));
    }),
    /** Ends what is under way, and replaces the version. */
    end: Effect.suspend(() => {
      replaceVersion();
      return endUntil(Infinity);
    }),
  };
}
