import { deepStrictEqual, match, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { answer, chunk, streamHead } from "../testing/raw_responses.ts";

const EVACUATED: ReadonlySet<string> = new Set(["lagos-ikeja"]);

const answers: Behaviour = (socket, { id }) => socket.write(answer(id, "done"));

const plain = { kind: "idempotent", hasPrompts: false } as const;

test("a prompt that waits is refused at once when its last data centre is evacuated", async () => {
  // Guards against prompts that wait until they are late for upstreams that may
  // no longer be used, or are sent there.
  await using fixture = await createForwardFixture([answers], {
    hasPrompts: true,
    targetMs: 4_000,
  });
  using _passes = fixture.startSchedulingPasses();
  fixture.controls.inFlight = 48;
  const response = fixture.call();
  await sleep(100);
  fixture.controls.evacuated = EVACUATED;
  const evacuatedMs = performance.now();
  const { status, body, headers } = await response;
  strictEqual(status, 503);
  ok(performance.now() - evacuatedMs < 1_000);
  match(body, /1 in evacuated data centres/);
  ok(Number(headers["retry-after"]) > 0);
  deepStrictEqual(fixture.arrivals, []);
});

test("a request is not sent to an upstream that is evacuated after it was picked", async () => {
  // Guards against an evacuation that comes while a connection is made.
  await using fixture = await createForwardFixture([answers, answers], plain);
  fixture.controls.onDecision = ({ event }) => {
    if (event === "attempt-started") fixture.controls.evacuated = EVACUATED;
  };
  strictEqual((await fixture.call()).status, 503);
  deepStrictEqual(fixture.arrivals, []);
});

test("a request is not repeated at an upstream that was evacuated meanwhile", async () => {
  const loses: Behaviour = (socket) => {
    fixture.controls.evacuated = EVACUATED;
    socket.resetAndDestroy();
  };
  await using fixture = await createForwardFixture([loses, answers], plain);
  strictEqual((await fixture.call()).status, 502);
  deepStrictEqual(fixture.arrivals, ["up-0"]);
});

test("a stream is not resumed at an upstream that was evacuated meanwhile", async () => {
  const breaks: Behaviour = (socket, { id }) => {
    socket.write(streamHead(id) + chunk("id: 1\ndata: a\n\n"));
    setTimeout(() => {
      fixture.controls.evacuated = EVACUATED;
      socket.resetAndDestroy();
    }, 20);
  };
  await using fixture = await createForwardFixture([breaks, answers]);
  const { status, isTruncated } = await fixture.call();
  deepStrictEqual([status, isTruncated], [200, true]);
  deepStrictEqual(fixture.arrivals, ["up-0"]);
});

test("a request is not sent to an upstream that turned cold after it was picked", async () => {
  // Guards against requests that nobody counts against the warm-up limit.
  await using fixture = await createForwardFixture([answers], plain);
  fixture.controls.onDecision = ({ event }) => {
    if (event === "attempt-started") fixture.controls.warmUp = "none";
  };
  strictEqual((await fixture.call()).status, 503);
  deepStrictEqual(fixture.arrivals, []);
});

test("nothing is learned for pacing from a cold upstream", async () => {
  // Guards against a prefill limit that falls for all upstreams since a few that
  // have just started are slow.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(
      streamHead(id) + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n",
    );
  }], { hasPrompts: true });
  fixture.controls.warmUp = "now";
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.recordedPacing, { firstEvents: [], pauses: [] });
});
