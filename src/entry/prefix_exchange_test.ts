import { deepStrictEqual, fail, strictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "../core/mod.ts";
import { createLoneTree } from "../testing/aggregation_trees.ts";
import { getNameDigest } from "../peers/mod.ts";
import { rankByAffinity } from "../placement/mod.ts";
import { createPrefixPlacements } from "../prefixes/mod.ts";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { drawPeerAddress } from "../testing/handoff_hosts.ts";
import { chunk, streamHead } from "../testing/raw_responses.ts";
import { openPrefixExchange } from "./prefix_exchange.ts";

/** The least number with which prefixes are copied. */
const UPSTREAMS = 16;

const answers: Behaviour = (socket, { id }) =>
  void socket.write(
    streamHead(id) + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n",
  );

/** Starts a host of the fleet, with upstreams that have the same ids at each. */
async function startHost(peerAddress: string, fleet: readonly string[]) {
  const self = { peerAddress, dataCentre: "lagos-ikeja" };
  const prefixes = createPrefixPlacements({
    clock: systemClock,
    self,
    tree: createLoneTree(systemClock, self),
    getHosts: () => fleet.map((each) => ({ ...self, peerAddress: each })),
    getDigest: getNameDigest,
    onRecorded: () => {},
  });
  const { announcer } = prefixes;
  const exchange = await openPrefixExchange({
    peerAddress,
    announcer,
    onFailed: fail,
  });
  const fixture = await createForwardFixture(
    Array.from({ length: UPSTREAMS }, () => answers),
    { hasPrompts: true },
    {
      memoryTransfer: { bytesPerToken: 1_000, megabitsPerSecond: 10_000 },
      prefixes,
    },
  );
  return {
    fixture,
    prefixes,
    async [Symbol.asyncDispose]() {
      await exchange[Symbol.asyncDispose]();
      await fixture[Symbol.asyncDispose]();
    },
  };
}

test("a second host sends a prompt to the upstream that another host's prompt went to", async () => {
  // Guards against the repeated prefill of a prefix at the first upstream of the
  // ranking, which had no room for the first prompt with it.
  const fleet = [drawPeerAddress(), drawPeerAddress()];
  await using one = await startHost(fleet[0]!, fleet);
  await using two = await startHost(fleet[1]!, fleet);
  const ranked = rankByAffinity(
    "m/shared",
    Array.from({ length: UPSTREAMS }, (_, at) => ({ id: `up-${at}` })),
  );
  one.fixture.controls.fullUpstreams = new Set(ranked.slice(0, 1));
  using _ = one.fixture.startSchedulingPasses();
  // It goes to an idle upstream shortly before it would be refused.
  strictEqual((await one.fixture.call()).status, 200);
  while (two.prefixes.count() === 0) await sleep(5);
  strictEqual((await two.fixture.call()).status, 200);
  deepStrictEqual(one.fixture.arrivals, ranked.slice(1, 2));
  deepStrictEqual(two.fixture.arrivals, ranked.slice(1, 2));
  const [start] = two.fixture.log.filter((each) =>
    each.event === "attempt-started"
  );
  strictEqual(start?.prefix, "held");
});
