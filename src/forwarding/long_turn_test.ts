import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Socket } from "node:net";
import {
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";

const CALLERS = 8;

/** Keeps this process from reading anything for so long, in ms. */
function block(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}

/** Callers whose prompts wait since no upstream has room. */
async function openWaiting(
  fixture: ForwardFixture,
): Promise<readonly Socket[]> {
  fixture.delay.inFlight = 48;
  const sockets = Array.from(
    { length: CALLERS },
    (_, at) => fixture.sendRaw(`waits-${at}`),
  );
  await sleep(100);
  return sockets;
}

const closes = {
  end: (socket: Socket) => void socket.destroy(),
  reset: (socket: Socket) => void socket.resetAndDestroy(),
} as const;

for (const kind of ["end", "reset"] as const) {
  for (const turnMs of [200, 1_400]) {
    test(`after a turn of ${turnMs} ms nothing is sent on for callers that left in it (${kind})`, async () => {
      // Guards against a start by a timer that runs before the closes are read.
      await using fixture = await createForwardFixture([() => {}], {
        kind: "stream",
        hasPrompts: true,
      });
      using _looks = fixture.startLooks();
      const sockets = await openWaiting(fixture);
      sockets.forEach(closes[kind]);
      block(turnMs);
      fixture.delay.inFlight = 0;
      await sleep(100);
      strictEqual(fixture.arrivals.length, 0);
    });
  }
}

test("a caller that stays is served after a long turn", async () => {
  await using fixture = await createForwardFixture([() => {}], {
    kind: "stream",
    hasPrompts: true,
  });
  using _looks = fixture.startLooks();
  await openWaiting(fixture);
  block(200);
  fixture.delay.inFlight = 0;
  await sleep(100);
  deepStrictEqual(fixture.arrivals, Array(CALLERS).fill("up-0"));
});
