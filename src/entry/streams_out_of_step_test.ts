import { deepStrictEqual, notStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type { FoundVersion } from "../stream_versions/mod.ts";
import {
  createPlatformViewFleet,
  type PlatformViewFleet,
  runFleet,
} from "../testing/platform_view_fleet.ts";

const SERVICE = "model";

/** Time for which one version has served before anything happens, in ms. */
const SERVED_MS = 40_000;

/** A stream is refused within this time, in ms. */
const MAX_REFUSAL_MS = 500;

interface Taken {
  readonly found: FoundVersion;
  readonly tookMs: number;
}

/** A caller takes the stream up at the host. */
function takeUp(
  fleet: PlatformViewFleet,
  host: string,
  request = "r",
): Effect.Effect<Taken> {
  return Effect.gen(function* () {
    const sinceMs = fleet.nowMs();
    const streams = fleet.tryGetStreams(host)!;
    const fiber = yield* Effect.forkDetach(streams.find(SERVICE, request));
    // With the clock of the play at rest, what is found at once is found first.
    yield* Effect.yieldNow;
    while (fiber.pollUnsafe() === undefined) yield* fleet.run(10);
    const found = yield* Fiber.join(fiber);
    return { found, tookMs: fleet.nowMs() - sinceMs };
  });
}

/** Plays with five hosts at which v1 has served for long. */
function play(
  run: (
    fleet: PlatformViewFleet,
  ) => Effect.Effect<void>,
): Promise<void> {
  const fleet = createPlatformViewFleet({ hosts: 5 });
  return runFleet(Effect.gen(function* () {
    fleet.tables.putConfig(1);
    fleet.tables.putUpstreams(["one", "two"]);
    yield* fleet.start;
    yield* fleet.run(SERVED_MS);
    yield* run(fleet);
  }));
}

/** v1.1 joins, a stream begins there through the host and breaks off. */
function beginElsewhere(
  fleet: PlatformViewFleet,
  host: string,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    fleet.tables.addUpstream("three", "v1.1");
    yield* fleet.run(200);
    const stream = { service: SERVICE, request: "r", version: "v1.1" };
    fleet.tryGetStreams(host)!.recordBegun(stream);
    yield* fleet.run(100);
  });
}

function getVersion(found: FoundVersion): string {
  return found.kind === "found" ? found.version : found.kind;
}

/** Lets the hosts lose contact with the platform and all others. */
function cutAway(fleet: PlatformViewFleet, hosts: readonly string[]): void {
  fleet.setCut(hosts, true);
  for (const host of hosts) fleet.tables.setTreatment(host, "silent");
}

for (let at = 0; at < 5; at++) {
  test(`a stream of a version that joined while host ${at} was cut off doesn't go on at another there`, async () => {
    await play((fleet) =>
      Effect.gen(function* () {
        const host = fleet.hosts[at]!;
        cutAway(fleet, [host]);
        yield* beginElsewhere(fleet, fleet.hosts[(at + 1) % 5]!);
        const { found, tookMs } = yield* takeUp(fleet, host);
        strictEqual(found.kind, "unknown");
        ok(tookMs <= MAX_REFUSAL_MS, `${tookMs}`);
      })
    );
  });

  test(`a stream of a version that joined while host ${at} stood still doesn't go on at another there`, async () => {
    await play((fleet) =>
      Effect.gen(function* () {
        const host = fleet.hosts[at]!;
        fleet.setSuspended(host, true);
        yield* beginElsewhere(fleet, fleet.hosts[(at + 1) % 5]!);
        yield* fleet.run(4_000);
        fleet.setSuspended(host, false);
        const { found } = yield* takeUp(fleet, host);
        strictEqual(getVersion(found), "v1.1");
      })
    );
  });

  test(`hosts that are cut off together with host ${at} don't vouch for what they alone know`, async () => {
    await play((fleet) =>
      Effect.gen(function* () {
        const side = [0, 1, 2, 3].map((each) => fleet.hosts[(at + each) % 5]!);
        cutAway(fleet, side);
        yield* beginElsewhere(fleet, fleet.hosts[(at + 4) % 5]!);
        yield* fleet.run(2_000);
        const { found } = yield* takeUp(fleet, side[0]!);
        notStrictEqual(getVersion(found), "v1");
      })
    );
  });

  test(`host ${at} that is cut off from the others alone asks the platform`, async () => {
    await play((fleet) =>
      Effect.gen(function* () {
        const host = fleet.hosts[at]!;
        fleet.setCut([host], true);
        yield* beginElsewhere(fleet, fleet.hosts[(at + 1) % 5]!);
        notStrictEqual(getVersion((yield* takeUp(fleet, host)).found), "v1");
        fleet.setCut([], false);
        yield* fleet.run(1_000);
        strictEqual(getVersion((yield* takeUp(fleet, host)).found), "v1.1");
      })
    );
  });
}

test("streams of a single version go on whoever can't be reached", async () => {
  // Guards against refusing as a cure.
  await play((fleet) =>
    Effect.gen(function* () {
      const [first, second] = fleet.hosts as [string, string];
      const calm = yield* takeUp(fleet, first);
      deepStrictEqual(
        [getVersion(calm.found), calm.tookMs <= 30],
        ["v1", true],
      );
      yield* fleet.killHost(second);
      yield* fleet.startHost(second);
      yield* fleet.run(300);
      strictEqual(getVersion((yield* takeUp(fleet, second)).found), "v1");
      // Three of the five read the tables for the others.
      for (const stopped of fleet.hosts) {
        yield* fleet.killHost(stopped);
        for (const host of fleet.hosts) {
          if (host === stopped) continue;
          strictEqual(getVersion((yield* takeUp(fleet, host)).found), "v1");
        }
        yield* fleet.startHost(stopped);
        yield* fleet.run(2_000);
      }
      fleet.tables.setTreatment(first, "silent");
      strictEqual(getVersion((yield* takeUp(fleet, first)).found), "v1");
      for (const treatment of ["slow", "silent"] as const) {
        fleet.treatAll(treatment);
        yield* fleet.run(5_000);
        for (const host of fleet.hosts) {
          const { found, tookMs } = yield* takeUp(fleet, host);
          strictEqual(getVersion(found), "v1");
          ok(tookMs <= MAX_REFUSAL_MS, `${treatment} ${tookMs}`);
        }
      }
    })
  );
});
