import { deepStrictEqual, match, strictEqual } from "node:assert";
import { test } from "node:test";
import { createEndlessUpstream } from "../testing/endless_upstream.ts";
import type { CallerResponse } from "../testing/forward_callers.ts";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import {
  createHeldUpstream,
  waitUntil,
  waitUntilRead,
} from "../testing/held_upstream.ts";
import { openPipeliningCaller } from "../testing/raw_callers.ts";
import { answer, headWithLength } from "../testing/raw_responses.ts";

const once = { kind: "at-most-once", isResumable: false } as const;
const stream = { kind: "stream", isResumable: false } as const;

/** Bytes that the responses of the host may take. */
const MEMORY_BYTES = 400_000;

/** Whole response of which the host holds a half while others arrive. */
const SMALL_BODY = `data: ${"y".repeat(800)}\n\n`;

/** Bytes of the large and the middle response, which have no room together. */
const LARGE_BYTES = 300_000;
const MIDDLE_BYTES = 200_000;

/** Gives the request with the id "small" to one upstream, others to another. */
function share(small: Behaviour, others: Behaviour): Behaviour {
  return (socket, request) =>
    (request.id === "small" ? small : others)(socket, request);
}

/** Starts a call of which half of the response has arrived. */
async function startSmallCall(
  fixture: ForwardFixture,
  held: ReturnType<typeof createHeldUpstream>,
): Promise<() => Promise<CallerResponse>> {
  const call = fixture.call({ id: "small" });
  const socket = await held.waitForRequest("small");
  const at = SMALL_BODY.length / 2;
  const head = headWithLength("small", SMALL_BODY.length);
  socket.write(head + SMALL_BODY.slice(0, at));
  await waitUntilRead(fixture.agent, socket);
  return () => {
    socket.write(SMALL_BODY.slice(at));
    return call;
  };
}

for (
  const [part, route] of [["chunked-body", once], ["event", stream]] as const
) {
  test(`without room the ${part} without an end fails, and a small response is whole`, async () => {
    // Guards against a host that is killed for what one upstream sends.
    const held = createHeldUpstream();
    const endless = createEndlessUpstream(part);
    await using fixture = await createForwardFixture(
      [share(held.behaviour, endless.behaviour)],
      route,
      { responseMemoryBytes: MEMORY_BYTES },
    );
    const finishSmall = await startSmallCall(fixture, held);
    strictEqual((await fixture.call({ id: "endless" })).status, 502);
    await endless.waitUntilClosed();
    const failed = fixture.log.find((each) => each.event === "attempt-failed");
    deepStrictEqual([failed?.request, failed?.kind, failed?.fingerprint], [
      "endless",
      "broken",
      undefined,
    ]);
    match(failed!.reason, /no room for responses/);
    strictEqual((await finishSmall()).body, SMALL_BODY);
  });
}

test("without room the largest answer that its caller does not read is cut, not the next to arrive", async () => {
  // Guards against slow callers that fill the memory of the host.
  const held = createHeldUpstream();
  await using fixture = await createForwardFixture(
    [held.behaviour],
    once,
    { responseMemoryBytes: MEMORY_BYTES },
  );
  using caller = openPipeliningCaller(fixture.port);
  caller.send(["first", "large"]);
  await held.waitForRequest("first");
  const large = await held.waitForRequest("large");
  large.write(answer("large", "x".repeat(LARGE_BYTES)));
  await waitUntil(
    () => fixture.responses[1]!.writableEnded,
    "answer that waits behind another",
  );
  const call = fixture.call({ id: "middle" });
  const middle = await held.waitForRequest("middle");
  middle.write(answer("middle", "x".repeat(MIDDLE_BYTES)));
  const res = await call;
  deepStrictEqual([res.status, res.body.length], [200, MIDDLE_BYTES]);
  const dropped = fixture.log.find((each) => each.event === "answer-dropped");
  strictEqual(dropped?.request, "large");
  const read = await caller.read(2);
  deepStrictEqual([read.responses, read.isClosed], [[], true]);
});

test("answers that callers have read take no room", async () => {
  // Guards against a host that drops answers since it has served many.
  await using fixture = await createForwardFixture(
    [(socket, { id }) => socket.write(answer(id, "x".repeat(MIDDLE_BYTES)))],
    once,
    { responseMemoryBytes: MEMORY_BYTES },
  );
  for (let at = 0; at < 10; at++) {
    const res = await fixture.call({ id: `request-${at}` });
    deepStrictEqual([res.status, res.body.length], [200, MIDDLE_BYTES]);
  }
});
