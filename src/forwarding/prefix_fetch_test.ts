import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { rankByAffinity } from "../placement/mod.ts";
import {
  type Behaviour,
  createForwardFixture,
  createLonePlacements,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import { answer, chunk, streamHead } from "../testing/raw_responses.ts";
import { createUpstreamEntry } from "../testing/routing_fixture.ts";

/** Time after which a holder of a prefix may be fetched from, in ms. */
const SOURCE_AGE_MS = 300;

/** Prefill tokens of the fixture's prompts with their shared prefix. */
const TOTAL = 4_200;

/** One more than prefixes are copied among. */
const UPSTREAMS = 17;

/** The upstreams by affinity to the prefix of the fixture's prompts. */
const ranked = rankByAffinity(
  "m/shared",
  Array.from({ length: UPSTREAMS }, (_, at) => ({ id: `up-${at}` })),
);

/** Starts upstreams that answer, and returns where each is told to fetch from. */
async function createFixture(first: Behaviour = answers) {
  const clock = createManualClock();
  const prefixes = createLonePlacements(clock);
  /** Lets the first upstreams of the ranking hold the prefix. */
  function placePrefix(count: number): void {
    for (const id of ranked.slice(0, count)) {
      const prefix = prefixes.getPrefix("m/shared");
      prefixes.record(prefix, createUpstreamEntry({ id }));
    }
    clock.advance(SOURCE_AGE_MS);
  }
  const fetchedFrom: (string | undefined)[] = [];
  const behaviours = Array.from(
    { length: UPSTREAMS },
    (_, at): Behaviour => (socket, request) => {
      fetchedFrom.push(/x-fetch: (\S+)/.exec(request.text)?.[1]);
      (`up-${at}` === ranked[0] ? first : answers)(socket, request);
    },
  );
  const fixture = await createForwardFixture(
    behaviours,
    { hasPrompts: true },
    {
      memoryTransfer: { bytesPerToken: 1_000, megabitsPerSecond: 10_000 },
      prefixes,
    },
  );
  return { fixture, fetchedFrom, clock, placePrefix };
}

const answers: Behaviour = (socket, { id }) =>
  void socket.write(
    streamHead(id) + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n",
  );

function getAddress({ upstreamAddresses }: ForwardFixture, at: number): string {
  return upstreamAddresses[Number(ranked[at]!.slice("up-".length))]!;
}

test("the second upstream gets the prompt for which the first has no room, and fetches from it", async () => {
  const { fixture, fetchedFrom, clock } = await createFixture();
  await using _ = fixture;
  strictEqual((await fixture.call()).status, 200);
  strictEqual((await fixture.call()).status, 200);
  clock.advance(SOURCE_AGE_MS);
  fixture.controls.fullUpstreams = new Set([ranked[0]!]);
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.arrivals, [ranked[0], ranked[0], ranked[1]]);
  const address = getAddress(fixture, 0);
  deepStrictEqual(fetchedFrom, [undefined, undefined, address]);
  // Guards against a learned prefill speed that includes the time of fetches,
  // or that takes a prefix for cached which the upstream prefilled.
  deepStrictEqual(fixture.recordedPacing.firstEvents, [TOTAL, 1_088]);
  const starts = fixture.log.flatMap((each) =>
    each.event === "attempt-started" ? [each] : []
  );
  deepStrictEqual(
    starts.map((each) => [each.prefix, each.readingTokens]),
    [["read", TOTAL], ["held", 1_088], ["fetched", 1_208]],
  );
  const { fetchFrom, fetchTokens } = starts[2]!;
  deepStrictEqual([fetchFrom, fetchTokens], [ranked[0], 120]);
});

test("an upstream that is cold, unhealthy or leaving is not named as a source", async () => {
  // Guards against prompts that wait for a source that has nothing, or is gone.
  const { fixture, fetchedFrom, clock, placePrefix } = await createFixture();
  await using _ = fixture;
  const { controls, health } = fixture;
  placePrefix(2);
  controls.fullUpstreams = new Set(ranked.slice(0, 2));
  controls.coldUpstreams = new Set(ranked.slice(0, 1));
  strictEqual((await fixture.call()).status, 200);
  clock.advance(SOURCE_AGE_MS);
  // The second is the first of those that may be used.
  controls.coldUpstreams = new Set();
  health.recordFailure(ranked[0]!, "unreachable");
  controls.fullUpstreams = new Set(ranked.slice(1, 3));
  strictEqual((await fixture.call()).status, 200);
  clock.advance(SOURCE_AGE_MS);
  fixture.leaveUpstream(ranked[1]!);
  controls.fullUpstreams = new Set(ranked.slice(2, 4));
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.arrivals, ranked.slice(2, 5));
  const expected = [1, 1, 2].map((at) => getAddress(fixture, at));
  deepStrictEqual(fetchedFrom, expected);
});

for (
  const [name, fail] of [
    ["breaks off", (socket) => void socket.resetAndDestroy()],
    ["asks for a back-off", (socket, { id }) =>
      void socket.write(
        answer(id, "", "503 Busy\r\nx-not-run: 1\r\nx-rest-ms: 500"),
      )],
  ] satisfies readonly (readonly [string, Behaviour])[]
) {
  test(`a retry does not fetch from the upstream that ${name}`, async () => {
    const { fixture, fetchedFrom, placePrefix } = await createFixture(
      (socket, request) => {
        fixture.controls.fullUpstreams = new Set([ranked[1]!]);
        fail(socket, request);
      },
    );
    await using _ = fixture;
    placePrefix(2);
    strictEqual((await fixture.call()).status, 200);
    deepStrictEqual(fixture.arrivals, [ranked[0], ranked[2]]);
    deepStrictEqual(fetchedFrom, [undefined, getAddress(fixture, 1)]);
  });
}
