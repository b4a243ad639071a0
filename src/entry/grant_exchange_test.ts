import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "../core/mod.ts";
import { createGrantOutbox, type GrantItem } from "../grants/mod.ts";
import { createGrantCodec, getNameDigest } from "../peers/mod.ts";
import type { WaitingPrompt } from "../queue/mod.ts";
import { drawPeerAddress } from "../testing/handoff_hosts.ts";
import { createGrantExchange } from "./grant_exchange.ts";

const DIGEST = 0xffff_fff0;

const PROMPT: WaitingPrompt = {
  request: "r-1",
  team: "calm",
  service: "model",
  route: "drafts",
  arrivedMs: systemClock.monotonicMs(),
  targetMs: 60_000,
  serviceTokens: 6_000,
  workTokens: 5_000,
  isBegun: false,
  isRepeated: false,
  isCallerConnected: () => true,
  getUpstreams: () => [],
  start() {},
  refuse() {},
};

/** Starts a host that asks the owner for one upstream. */
async function startHost(
  peerAddress: string,
  owner: string,
  { inFlight = 0, isUnderserved = false } = {},
) {
  const started: string[] = [];
  const failures: string[] = [];
  const exchange = createGrantExchange({
    nowMs: systemClock.monotonicMs,
    peerAddress,
    onFailed: (reason) => void failures.push(reason),
    session: 0xffff_ffff,
    owners: { isEnabled: () => true, tryGetOwner: () => owner },
    upstreams: {
      tryGetDigest: () => DIGEST,
      tryGet: (digest) =>
        digest === DIGEST
          ? {
            slots: 48,
            msPerToken: 0.02,
            inFlight,
            readingTokens: 0,
            limitTokens: 14_000,
          }
          : undefined,
    },
    getDigest: getNameDigest,
    getServiceLevel: () => 0,
    isUnderserved: () => isUnderserved,
    start(_prompt, upstream) {
      started.push(upstream);
      return true;
    },
    onEnded() {},
  });
  await exchange.open();
  return {
    started,
    failures,
    countWaiting: exchange.countWaiting,
    recordStart: (serviceTokens: number) =>
      exchange.client.recordStart({ ...PROMPT, serviceTokens }, "up-1", 900),
    ask: () =>
      exchange.client.ask(
        PROMPT,
        [{ upstream: "up-1", readingTokens: 5_000 }],
        {
          yields: 0,
          isDeprioritised: false,
          maxWaitMs: 60_000,
        },
      ),
    [Symbol.asyncDispose]: exchange[Symbol.asyncDispose],
  };
}

test("another host grants, and so does the host itself", async () => {
  // Guards against answers to the wrong port and to a host without a socket to
  // itself.
  const address = drawPeerAddress();
  await using owner = await startHost(address, address);
  await using asker = await startHost(drawPeerAddress(), address);
  for (const host of [owner, asker]) {
    host.ask();
    while (host.started.length === 0) await sleep(1);
    deepStrictEqual(host.started, ["up-1"]);
  }
});

test("an owner grants an underserved team slots that it leaves free otherwise", async () => {
  // Guards against few prompts that find no slot among the answers of many hosts.
  const inFlight = 35;
  for (const isUnderserved of [false, true]) {
    const address = drawPeerAddress();
    await using host = await startHost(address, address, {
      inFlight,
      isUnderserved,
    });
    host.ask();
    const isDecided = () => host.countWaiting() + host.started.length > 0;
    while (!isDecided()) await sleep(1);
    deepStrictEqual(host.started, isUnderserved ? ["up-1"] : []);
  }
});

test("a message that can't be encoded is dropped and reported", async () => {
  // Guards against an uncaught error that ends the process.
  await using host = await startHost(drawPeerAddress(), drawPeerAddress());
  host.recordStart(6e9);
  while (host.failures.length === 0) await sleep(1);
});

test("messages are decoded as they were, and fit into a datagram", () => {
  const largest = 0xffff_ffff;
  const codec = createGrantCodec("secret");
  const items: GrantItem[] = Array.from({ length: 400 }, (_, at) => ({
    kind: "request",
    request: {
      number: largest - at,
      upstream: largest,
      tokens: 2_000_000,
      serviceTokens: 2_000_000,
      team: largest,
      yields: 2,
      isDeprioritised: true,
      ageMs: 16_000,
      remainingMs: 16_000,
    },
  }));
  const { tokens, serviceTokens, upstream, team } =
    (items[0] as Extract<GrantItem, { kind: "request" }>).request;
  const start = { tokens, serviceTokens, upstream, team };
  items.push(...Array(100).fill({ kind: "start", start }));
  for (const kind of ["release", "grant", "waiting"] as const) {
    items.push(...Array(300).fill({ kind, number: largest }));
  }
  const outbox = createGrantOutbox();
  for (const item of items) outbox.add("127.0.0.1:7300", largest, item);
  const decoded = outbox.takeMessages().flatMap(({ message }) => {
    const bytes = codec.encode(message);
    ok(bytes.length <= 1_100, `${bytes.length} bytes`);
    const copy = codec.tryDecode(bytes);
    strictEqual(copy?.session, largest);
    return copy.items;
  });
  deepStrictEqual(decoded, items);
});
