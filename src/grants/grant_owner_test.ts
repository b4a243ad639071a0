import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { createVirtualScheduler } from "../measure/virtual_scheduler.ts";
import { createGrantOwner, MAX_PREFILL_AHEAD_MS } from "./grant_owner.ts";
import type { GrantRequest, OwnerItem, RequesterItem } from "./types.ts";

const UPSTREAM = 7;
const MS_PER_TOKEN = 0.02;
const FROM = { address: "127.0.0.1:7300", session: 1 };

function createFixture(inFlight = 0) {
  const scheduler = createVirtualScheduler();
  const { clock } = scheduler;
  const sent: OwnerItem[] = [];
  let readingTokens = 0;
  /** Service over all hosts, by team. */
  const levels = new Map<number, number>();
  const owner = createGrantOwner({
    nowMs: clock.monotonicMs,
    getSlotShare: ({ yields }) => yields === 0 ? 0.6 : 0.45,
    tryGetUpstream: () => ({
      slots: 100,
      msPerToken: MS_PER_TOKEN,
      inFlight,
      readingTokens,
      limitTokens: 14_000,
    }),
    getServiceLevel: (team) => levels.get(team) ?? 0,
    send: (_to, item) => void sent.push(item),
  });
  scheduler.every(10, owner.tick);
  const receive = (...items: RequesterItem[]) => owner.receive(FROM, items);
  return {
    scheduler,
    owner,
    sent,
    levels,
    receive,
    setReadingTokens: (tokens: number) => void (readingTokens = tokens),
    getGranted: () =>
      sent.flatMap((each) => each.kind === "grant" ? [each.number] : []),
    getAheadMs: () => (owner.tryGetEndMs(UPSTREAM) ?? 0) - clock.monotonicMs(),
  };
}

function createRequest(
  number: number,
  changes: Partial<GrantRequest> = {},
): RequesterItem {
  const request: GrantRequest = {
    number,
    upstream: UPSTREAM,
    tokens: 5_000,
    serviceTokens: 6_000,
    team: 1,
    yields: 0,
    isDeprioritised: false,
    ageMs: 0,
    remainingMs: 480,
    ...changes,
  };
  return { kind: "request", request };
}

test("three times the load is granted as fast as it is prefilled", () => {
  // Guards against an upstream that is idle while prompts wait for it, and
  // against several prompts that are prefilled there at once.
  const { scheduler, owner, receive, getGranted, getAheadMs } = createFixture();
  let number = 0;
  // Prefills of 100 ms each; the first one is admitted at the first request.
  scheduler.every(100 / 3, () => receive(createRequest(++number)));
  scheduler.every(1, () => {
    ok(getAheadMs() < MAX_PREFILL_AHEAD_MS + 5_000 * MS_PER_TOKEN);
    if (owner.countWaiting() > 0) ok(getAheadMs() > 0, "idle");
  });
  scheduler.runUntil(20_000);
  ok(Math.abs(getGranted().length - 201) <= 1, `${getGranted().length}`);
});

test("requests are granted by share, yield level, team and age", () => {
  const { scheduler, receive, getGranted } = createFixture();
  receive(createRequest(1, { tokens: 20_000, team: 1 }));
  receive(
    createRequest(2, { isDeprioritised: true, yields: 0, team: 2 }),
    createRequest(3, { yields: 1, team: 2 }),
    createRequest(4, { team: 1 }),
    createRequest(5, { team: 3, ageMs: 50 }),
    createRequest(6, { team: 4, ageMs: 10 }),
  );
  scheduler.runUntil(470);
  // Then team 1 has been admitted more service than the others.
  deepStrictEqual(getGranted(), [1, 6, 5]);
  receive(...[2, 3, 4].map((number) => ({ kind: "release", number }) as const));
  receive(
    createRequest(7, { isDeprioritised: true, team: 2 }),
    createRequest(8, { yields: 1, team: 2 }),
    createRequest(9, { team: 1 }),
  );
  scheduler.runUntil(1_000);
  deepStrictEqual(getGranted(), [1, 6, 5, 9, 8, 7]);
});

test("a team that other owners serve much goes after one that all serve little", () => {
  // Guards against owners that each give a team an equal part, however many of
  // them serve it.
  const { scheduler, levels, receive, getGranted } = createFixture();
  levels.set(2, 400_000).set(3, 40_000);
  receive(createRequest(1, { team: 3 }));
  receive(createRequest(2, { team: 2 }), createRequest(3, { team: 3 }));
  scheduler.runUntil(470);
  deepStrictEqual(getGranted(), [1, 3, 2]);
});

test("the slot limit of the yield level holds, with the latest grants", () => {
  // Guards against grants for half a second to an upstream that runs as many
  // requests as it can.
  const { scheduler, receive, getGranted } = createFixture(44);
  const yielding = (number: number) =>
    createRequest(number, { yields: 2, tokens: 10 });
  receive(yielding(1), yielding(2));
  scheduler.runUntil(200);
  deepStrictEqual(getGranted(), [1]);
  receive(createRequest(3, { tokens: 10 }));
  deepStrictEqual(getGranted(), [1, 3]);
});

test("an upstream that is slower than learned gets no grants until it has caught up", () => {
  // Guards against a queue in the upstream that grows as long as the load lasts.
  const fixture = createFixture();
  fixture.receive(createRequest(1));
  fixture.setReadingTokens(30_000);
  fixture.receive(createRequest(2));
  fixture.scheduler.runUntil(200);
  deepStrictEqual(fixture.getGranted(), [1]);
  fixture.setReadingTokens(20_000);
  fixture.scheduler.runUntil(220);
  deepStrictEqual(fixture.getGranted(), [1, 2]);
});

test("the expected end does not run ahead of what the load view shows", () => {
  // Guards against refusals at an idle upstream that is faster than learned.
  const fixture = createFixture();
  const { upstream, tokens, serviceTokens, team } =
    (createRequest(0) as Extract<RequesterItem, { kind: "request" }>).request;
  const start = { upstream, tokens, serviceTokens, team };
  for (let at = 0; at < 200; at++) fixture.receive({ kind: "start", start });
  fixture.scheduler.runUntil(400);
  fixture.receive(createRequest(1));
  fixture.scheduler.runUntil(600);
  deepStrictEqual(fixture.getGranted(), [1]);
});

test("requests expire, and a returned grant frees its time once", () => {
  // Guards against grants for prompts that were refused, and against a returned
  // grant that leaves the upstream idle or is counted off twice.
  const { scheduler, owner, sent, receive, getGranted, getAheadMs } =
    createFixture();
  receive(createRequest(1, { tokens: 30_000 }), createRequest(2));
  deepStrictEqual(sent.at(-1), { kind: "waiting", number: 2 });
  receive(createRequest(3, { remainingMs: 100 }));
  scheduler.runUntil(110);
  strictEqual(owner.countWaiting(), 1);
  receive({ kind: "release", number: 1 });
  deepStrictEqual(getGranted(), [1, 2]);
  receive({ kind: "release", number: 1 });
  strictEqual(Math.round(getAheadMs()), 100);
  // The request is repeated since the grant was lost.
  receive(createRequest(2));
  deepStrictEqual(getGranted(), [1, 2, 2]);
  strictEqual(Math.round(getAheadMs()), 100);
  scheduler.runUntil(3_000);
  deepStrictEqual(getGranted(), [1, 2, 2]);
});
