import { deepStrictEqual, ok } from "node:assert";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import {
  createKnowledgeFleet,
  type KnowledgeFleet,
  runFleet,
} from "../testing/knowledge_fleet.ts";

/** A configuration must be in force everywhere so soon, in ms. */
const BOUND_MS = 2_500;

/** While nothing is wrong it is in force everywhere so soon, in ms. */
const FAULT_FREE_MS = 200;

/** Plays a change under trouble; gives how long the last host took, in ms. */
async function measureChange(
  causeFailures: (fleet: KnowledgeFleet) => void | Effect.Effect<void>,
  { hosts = 9, isPassingOn = true } = {},
): Promise<number> {
  const fleet = createKnowledgeFleet({ hosts, isPassingOn });
  let tookMs = 0;
  await runFleet(Effect.gen(function* () {
    fleet.tables.put(1);
    fleet.tables.putUpstreams(["one", "two"]);
    yield* fleet.start;
    // Without passing on a host reads itself only after two seconds.
    yield* fleet.run(5_000);
    deepStrictEqual(new Set(fleet.getVersions()), new Set([1]));
    yield* causeFailures(fleet) ?? Effect.void;
    fleet.tables.put(2);
    const sinceMs = fleet.nowMs();
    while (fleet.getVersions().some((each) => each < 2)) {
      yield* fleet.run(10);
      tookMs = fleet.nowMs() - sinceMs;
      if (tookMs > 20_000) return;
    }
  }));
  return tookMs;
}

/** The platform answers nobody for so long, in ms, while all upstreams lapse. */
function simulateOutage(
  fleet: KnowledgeFleet,
  outageMs: number,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    fleet.treatAll("silent");
    yield* fleet.run(outageMs);
    fleet.treatAll("served");
    fleet.tables.putUpstreams([]);
  });
}

test("a change is in force at nine hosts, and at ninety, in a fifth of a second", async () => {
  ok(await measureChange(() => {}) <= FAULT_FREE_MS);
  ok(await measureChange(() => {}, { hosts: 90 }) <= FAULT_FREE_MS);
});

for (const treatment of ["refused", "silent"] as const) {
  test(`a change reaches hosts that the platform keeps ${treatment} in time`, async () => {
    // The platform turns a third of the hosts away while a key is taken from a
    // caller, and all three readers are among them at worst. A caller would be
    // served by the old key for as long as its host heard nothing.
    for (let first = 0; first < 9; first++) {
      const tookMs = await measureChange(({ tables, hosts }) => {
        for (let at = 0; at < 3; at++) {
          tables.treat(hosts[(first + at) % hosts.length]!, treatment);
        }
      });
      ok(tookMs <= BOUND_MS, `${tookMs} ms from host ${first}`);
    }
  });
}

test("without passing on, hosts that are turned away miss the bound", async () => {
  const tookMs = await measureChange(({ tables, hosts }) => {
    for (const host of hosts.slice(0, 3)) tables.treat(host, "refused");
  }, { isPassingOn: false });
  ok(tookMs > BOUND_MS, `${tookMs} ms`);
});

test("a change is in force in time though watches are silent and history goes", async () => {
  // Watches hear nothing for a second while an operator changes a route; then the
  // history is dropped, so that what happened meanwhile is told by no watch.
  const tookMs = await measureChange((fleet) => {
    fleet.tables.silenceUntil(fleet.nowMs() + 1_000);
    fleet.tables.dropHistory();
  });
  ok(tookMs <= BOUND_MS, `${tookMs} ms`);
});

test("no host goes back when the platform does", async () => {
  // A host that missed the change answers a fetch; an older copy must not win.
  const fleet = createKnowledgeFleet({ hosts: 9 });
  await runFleet(Effect.gen(function* () {
    fleet.tables.put(1);
    yield* fleet.start;
    yield* fleet.run(1_000);
    fleet.tables.put(5);
    yield* fleet.run(1_000);
    fleet.tables.put(3);
    yield* fleet.run(1_000);
  }));
  deepStrictEqual(new Set(fleet.getVersions()), new Set([5]));
});

test("after an outage a change is in force as soon as ever", async () => {
  // The platform is back for longer than a call takes to be given up, operators
  // change a route, and callers are refused for a second more. Each reader from
  // before passed itself over for five seconds after its last failure, while the
  // others had heard of its first and took it for the reader: nobody read.
  for (let outageMs = 6_000; outageMs <= 10_000; outageMs += 170) {
    const tookMs = await measureChange((fleet) =>
      simulateOutage(fleet, outageMs).pipe(Effect.andThen(fleet.run(2_500)))
    );
    ok(
      tookMs <= FAULT_FREE_MS,
      `${tookMs} ms after ${outageMs} ms without platform`,
    );
  }
});

test("the one host that may read the configuration passes it on", async () => {
  // The platform serves the list of upstreams to all hosts and the configuration
  // to one, each host in turn. Callers are refused on new routes until hosts that
  // may not read the one table are passed over for it.
  for (let served = 0; served < 9; served++) {
    const tookMs = await measureChange((fleet) => {
      const refused = fleet.hosts.filter((_, at) => at !== served);
      for (const host of refused) {
        fleet.tables.treatTable(host, "config", "silent");
      }
      return fleet.run(4_000);
    });
    ok(tookMs <= BOUND_MS, `${tookMs} ms from host ${served}`);
  }
});

test("a change of one table makes no host fetch the other", async () => {
  // An upstream registers. The platform counts all tables by one version, so that
  // readers know the configuration up to a newer version, with nothing new in it.
  // Hosts took that for a newer configuration and fetched it at each report, for
  // as long as no configuration came: processor time and bytes for nothing.
  const fleet = createKnowledgeFleet({ hosts: 9 });
  await runFleet(Effect.gen(function* () {
    fleet.tables.put(1);
    yield* fleet.start;
    yield* fleet.run(8_000);
    const before = fleet.fetches.length;
    fleet.tables.putUpstreams(["one"]);
    yield* fleet.run(10_000);
    const outcomes = fleet.fetches.slice(before);
    deepStrictEqual(outcomes, Array(6).fill("newer"));
  }));
});

test("a host logs that it reads a table or leaves it to others, and why", async () => {
  // Operators ask why a host had an old configuration: whether it was to read it,
  // and if not, for whom it left it.
  const fleet = createKnowledgeFleet({ hosts: 9 });
  await runFleet(Effect.gen(function* () {
    fleet.tables.put(1);
    yield* fleet.start;
    yield* fleet.run(5_000);
  }));
  const lines = fleet.logged.map((each) => each.decision)
    .filter((each) => each.event === "table-reader-changed")
    .filter((each) => each.table === "config");
  const countLines = (because: string) =>
    lines.filter((each) => each.because === because).length;
  deepStrictEqual(
    [countLines("first-in-rank"), countLines("others-first")],
    [3, 6],
  );
});

test("a change is in force in time after the platform was away for long", async () => {
  // Callers get 404 from healthy hosts on a route that operators have added. The
  // platform answers nobody for six to ten seconds; it returns, upstreams whose
  // entries lapsed are gone from its list, and operators add the route. One host
  // reads the list of upstreams and tells it; that counted for both tables, so
  // that for two seconds more nobody read the configuration, again and again. And
  // each reader from before left the role to the others, and these to it.
  // Evidence: at all hosts the age of the last confirmation fell from two seconds
  // to nothing whenever the list came, while no host logged the configuration.
  for (let outageMs = 6_000; outageMs <= 10_000; outageMs += 170) {
    const tookMs = await measureChange((fleet) =>
      simulateOutage(fleet, outageMs)
    );
    ok(
      tookMs <= BOUND_MS,
      `${tookMs} ms after ${outageMs} ms without platform`,
    );
  }
});

test("a platform back from a copy shows at once, also where its version is the old one", async () => {
  // Guards against a watch that waits for news of an era that is over.
  for (let outageMs = 0; outageMs <= 3_000; outageMs += 150) {
    const fleet = createKnowledgeFleet({ hosts: 9 });
    let tookMs = 0;
    await runFleet(Effect.gen(function* () {
      fleet.tables.put(1);
      yield* fleet.start;
      yield* fleet.run(6_000);
      fleet.tables.put(2);
      yield* fleet.run(1_000);
      fleet.treatAll("silent");
      yield* fleet.run(Math.max(10, outageMs));
      fleet.tables.rewind(outageMs + 1_200);
      fleet.treatAll("served");
      fleet.tables.put(3);
      const sinceMs = fleet.nowMs();
      while (fleet.getVersions().some((each) => each < 3)) {
        yield* fleet.run(10);
        tookMs = fleet.nowMs() - sinceMs;
        if (tookMs > 20_000) return;
      }
    }));
    ok(
      tookMs <= BOUND_MS,
      `${tookMs} ms after ${outageMs} ms without platform`,
    );
  }
});
