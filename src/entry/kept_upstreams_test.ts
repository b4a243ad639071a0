import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import type { Treatment } from "../testing/fake_tables.ts";
import {
  createPlatformViewFleet,
  type PlatformViewFleet,
  runFleet,
} from "../testing/platform_view_fleet.ts";

/** An upstream gets no new requests from this time after its removal on, in ms. */
const DRAIN_MS = 2_500;

/** Upstreams whose rows expired in an outage are back within this time, in ms. */
const RETURN_MS = 2_000;

/** Time in which hosts select other readers after a failed read, in ms. */
const RESELECTION_MS = 2_000;

/** Time in which the others receive a reader's report of a change, in ms. */
const REPORTED_MS = 40;

const HOSTS = 9;

/** Runs hosts that have known two upstreams for a while. */
async function runStartedFleet(
  play: (fleet: PlatformViewFleet) => Effect.Effect<void>,
): Promise<void> {
  const fleet = createPlatformViewFleet({ hosts: HOSTS });
  await runFleet(Effect.gen(function* () {
    fleet.tables.putConfig(1);
    fleet.tables.putUpstreams(["one", "two"]);
    yield* fleet.start;
    yield* fleet.run(8_000);
    yield* play(fleet);
  }));
}

/** The hosts that read the list of upstreams from the platform. */
function getReaders(fleet: PlatformViewFleet): readonly string[] {
  return fleet.hosts.filter((host) => {
    const last = fleet.loggedDecisions.findLast((each) =>
      each.host === host && each.decision.event === "table-reader-changed" &&
      each.decision.table === "upstreams"
    )?.decision;
    return fleet.tryGetView(host) !== undefined &&
      last?.event === "table-reader-changed" && last.reads;
  });
}

/** For each running host, the upstreams that may get new requests. */
function getReady(fleet: PlatformViewFleet): readonly string[] {
  return fleet.hosts.flatMap((host) => {
    const view = fleet.tryGetView(host);
    if (view === undefined) return [];
    return [view.directory.getReady("model").map(({ id }) => id).join(" ")];
  });
}

function killAll(
  fleet: PlatformViewFleet,
  hosts: readonly string[],
): Effect.Effect<void> {
  return Effect.forEach(hosts, fleet.killHost, { discard: true });
}

for (const treatment of ["refused", "silent"] as const) {
  test(`a host that the platform keeps ${treatment} and the loss of all readers don't prolong requests to a removed upstream`, async () => {
    // Guards against taking the failure of one host for an outage of the platform.
    await runStartedFleet((fleet) =>
      Effect.gen(function* () {
        const [cutOff] = getReaders(fleet);
        fleet.tables.setTreatment(cutOff!, treatment);
        yield* fleet.run(RESELECTION_MS);
        const readers = getReaders(fleet).filter((each) => each !== cutOff);
        yield* killAll(fleet, readers);
        fleet.tables.putUpstreams(["two"]);
        yield* fleet.run(DRAIN_MS);
        const alive = HOSTS - readers.length;
        deepStrictEqual(getReady(fleet), Array(alive).fill("two"));
      })
    );
  });
}

for (const treatment of ["refused", "silent"] as const) {
  test(`readers that the platform keeps ${treatment} don't prolong requests to a removed upstream`, async () => {
    // Guards against taking a platform that serves all other hosts for away.
    await runStartedFleet((fleet) =>
      Effect.gen(function* () {
        for (const reader of getReaders(fleet)) {
          fleet.tables.setTreatment(reader, treatment);
        }
        fleet.tables.putUpstreams(["two"]);
        yield* fleet.run(DRAIN_MS);
        deepStrictEqual(getReady(fleet), Array(HOSTS).fill("two"));
      })
    );
  });
}

test("a reader that goes silent as others fetch from it doesn't prolong requests to a removed upstream", async () => {
  // Guards against hosts that wait for its copy beyond the bound.
  await runStartedFleet((fleet) =>
    Effect.gen(function* () {
      const [reader] = getReaders(fleet);
      fleet.tables.putUpstreams(["two"]);
      yield* fleet.run(REPORTED_MS);
      fleet.setPartitioned(reader!, true);
      yield* fleet.run(DRAIN_MS - REPORTED_MS);
      deepStrictEqual(getReady(fleet), Array(HOSTS).fill("two"));
    })
  );
});

test("a host that was partitioned from all others doesn't prolong their requests to a removed upstream", async () => {
  // Guards against a report of its failures, heard as it is back, as an outage.
  await runStartedFleet((fleet) =>
    Effect.gen(function* () {
      const [host] = fleet.hosts;
      fleet.setPartitioned(host!, true);
      fleet.tables.setTreatment(host!, "silent");
      yield* fleet.run(4_000);
      fleet.setPartitioned(host!, false);
      yield* fleet.run(500);
      fleet.tables.putUpstreams(["two"]);
      yield* fleet.run(DRAIN_MS);
      deepStrictEqual(getReady(fleet).slice(1), Array(HOSTS - 1).fill("two"));
    })
  );
});

/** Lets the platform answer no host for a while. */
function runOutage(
  fleet: PlatformViewFleet,
  { treatment, ms }: { readonly treatment: Treatment; readonly ms: number },
): Effect.Effect<void> {
  return Effect.gen(function* () {
    fleet.treatAll(treatment);
    yield* fleet.run(ms);
    fleet.treatAll("served");
  });
}

for (const treatment of ["refused", "silent"] as const) {
  test(`entries that expired while the platform was ${treatment} to all hosts are kept until they may return`, async () => {
    // Guards against refusing every request for two seconds after an outage.
    for (let ms = 3_600; ms <= 12_000; ms += 700) {
      await runStartedFleet((fleet) =>
        Effect.gen(function* () {
          yield* runOutage(fleet, { treatment, ms });
          fleet.tables.putUpstreams([]);
          yield* fleet.run(RETURN_MS - 200);
          const kept = Array(HOSTS).fill("one two");
          deepStrictEqual(getReady(fleet), kept, `after ${ms} ms`);
          fleet.tables.putUpstreams(["one"]);
          yield* fleet.run(2_000);
          deepStrictEqual(getReady(fleet), Array(HOSTS).fill("one"));
        })
      );
    }
  });
}

test("entries that expire shortly after the platform is back are kept until they may return", async () => {
  // Guards against refusing every request as the platform misses the upstreams'
  // heartbeats of the outage only once it is back.
  await runStartedFleet((fleet) =>
    Effect.gen(function* () {
      yield* runOutage(fleet, { treatment: "refused", ms: 4_000 });
      yield* fleet.run(1_000);
      fleet.tables.putUpstreams([]);
      yield* fleet.run(500);
      deepStrictEqual(getReady(fleet), Array(HOSTS).fill("one two"));
      yield* fleet.run(3_000);
      deepStrictEqual(getReady(fleet), Array(HOSTS).fill(""));
    })
  );
});

test("entries that the platform's backup lacks are kept until they may return", async () => {
  // Guards against refusing every request after a restore that took no time.
  await runStartedFleet((fleet) =>
    Effect.gen(function* () {
      fleet.tables.restoreBackup(7_999);
      fleet.tables.putUpstreams([]);
      yield* fleet.run(RETURN_MS - 200);
      deepStrictEqual(getReady(fleet), Array(HOSTS).fill("one two"));
    })
  );
});
