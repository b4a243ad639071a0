import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { rankByAffinity } from "../placement/mod.ts";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import { answer, chunk, streamHead } from "../testing/raw_responses.ts";

/** One more than prefixes are copied among. */
const UPSTREAMS = 17;

/** The upstreams by affinity to the prefix of the fixture's prompts. */
const ranked = rankByAffinity(
  "m/shared",
  Array.from({ length: UPSTREAMS }, (_, at) => ({ id: `up-${at}` })),
);

/** Starts upstreams that answer, and returns where each is told to fetch from. */
async function createFixture(first: Behaviour = answers) {
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
    { memoryTransfer: { bytesPerToken: 1_000, megabitsPerSecond: 10_000 } },
  );
  return { fixture, fetchedFrom };
}

const answers: Behaviour = (socket, { id }) =>
  void socket.write(
    streamHead(id) + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n",
  );

function getAddress({ upstreamAddresses }: ForwardFixture, at: number): string {
  return upstreamAddresses[Number(ranked[at]!.slice("up-".length))]!;
}

test("the second upstream gets the prompt for which the first has no room, and fetches from it", async () => {
  const { fixture, fetchedFrom } = await createFixture();
  await using _ = fixture;
  strictEqual((await fixture.call()).status, 200);
  fixture.controls.fullUpstreams = new Set([ranked[0]!]);
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.arrivals, [ranked[0], ranked[1]]);
  deepStrictEqual(fetchedFrom, [undefined, getAddress(fixture, 0)]);
  // Guards against a learned prefill speed that includes the time of fetches.
  deepStrictEqual(fixture.recordedPacing.firstEvents, [1_088]);
  const [, start] = fixture.log.filter((each) =>
    each.event === "attempt-started"
  );
  deepStrictEqual(
    [start?.fetchFrom, start?.fetchTokens, start?.readingTokens],
    [ranked[0], 120, 1_208],
  );
});

test("an upstream that is cold, unhealthy or leaving is not named as a source", async () => {
  // Guards against prompts that wait for a source that has nothing, or is gone.
  const { fixture, fetchedFrom } = await createFixture();
  await using _ = fixture;
  const { controls, health } = fixture;
  controls.fullUpstreams = new Set(ranked.slice(0, 1));
  controls.coldUpstreams = controls.fullUpstreams;
  strictEqual((await fixture.call()).status, 200);
  // The second is the first of those that may be used.
  health.recordFailure(ranked[0]!, "unreachable");
  controls.fullUpstreams = new Set(ranked.slice(1, 2));
  strictEqual((await fixture.call()).status, 200);
  fixture.leaveUpstream(ranked[1]!);
  controls.fullUpstreams = new Set(ranked.slice(2, 3));
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.arrivals, ranked.slice(1, 4));
  const expected = [2, 1, 2].map((at) => getAddress(fixture, at));
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
    const { fixture, fetchedFrom } = await createFixture((socket, request) => {
      fixture.controls.fullUpstreams = new Set([ranked[1]!]);
      fail(socket, request);
    });
    await using _ = fixture;
    strictEqual((await fixture.call()).status, 200);
    deepStrictEqual(fixture.arrivals, [ranked[0], ranked[2]]);
    deepStrictEqual(fetchedFrom, [undefined, getAddress(fixture, 1)]);
  });
}
