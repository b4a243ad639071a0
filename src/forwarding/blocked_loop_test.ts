import { deepStrictEqual, strictEqual } from "node:assert";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Socket } from "node:net";
import { blockEventLoop } from "../testing/block_event_loop.ts";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";

const CALLERS = 8;

/** Opens calls whose prompts stay queued because no upstream has room. */
async function openQueuedCalls(
  fixture: ForwardFixture,
): Promise<readonly Socket[]> {
  fixture.controls.inFlight = 48;
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
    test(`after the event loop was blocked for ${turnMs} ms nothing is forwarded for callers that disconnected meanwhile (${kind})`, async () => {
      // Guards against a timer that starts prompts before the closes have been
      // read.
      await using fixture = await createForwardFixture([() => {}], {
        kind: "stream",
        hasPrompts: true,
      });
      using _passes = fixture.startSchedulingPasses();
      const sockets = await openQueuedCalls(fixture);
      sockets.forEach(closes[kind]);
      blockEventLoop(turnMs);
      fixture.controls.inFlight = 0;
      await sleep(100);
      strictEqual(fixture.arrivals.length, 0);
    });
  }
}

test("a caller that stays is served after the event loop was blocked", async () => {
  await using fixture = await createForwardFixture([() => {}], {
    kind: "stream",
    hasPrompts: true,
  });
  using _passes = fixture.startSchedulingPasses();
  await openQueuedCalls(fixture);
  blockEventLoop(200);
  fixture.controls.inFlight = 0;
  await sleep(100);
  deepStrictEqual(fixture.arrivals, Array(CALLERS).fill("up-0"));
});

/**
 * Responds at once, then blocks the event loop for this time, in ms, so that
 * the host cannot read the response.
 */
function respondAndBlock(
  forMs: number,
  text: (id: string) => string,
): Behaviour {
  return (socket, { id }) => {
    socket.write(text(id));
    blockEventLoop(forMs);
  };
}

function createHead(id: string): string {
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n`;
}

const createFullResponse = (id: string) =>
  `${createHead(id)}content-length: 4\r\n\r\ndone`;
const createOpenStream = (id: string) =>
  `${createHead(id)}transfer-encoding: chunked\r\n\r\n` +
  "f\r\nid: 1\ndata: a\n\n\r\n";

test("an idempotent call whose response arrived while the event loop was blocked is not sent again", async () => {
  // Guards against counting the time for which this host's event loop was
  // blocked as silence of the upstream.
  const answers = respondAndBlock(2_300, createFullResponse);
  await using fixture = await createForwardFixture([answers, answers], {
    kind: "idempotent",
    isResumable: false,
    hasPrompts: false,
  });
  strictEqual((await fixture.call()).status, 200);
  strictEqual(fixture.arrivals.length, 1);
});

test("a stream whose first event arrived while the event loop was blocked is not sent again", async () => {
  // Guards against counting the blocked time as a missing response head.
  const answers = respondAndBlock(
    1_800,
    (id) => `${createOpenStream(id)}0\r\n\r\n`,
  );
  await using fixture = await createForwardFixture([answers, answers]);
  strictEqual((await fixture.call()).status, 200);
  strictEqual(fixture.arrivals.length, 1);
});

test("a stream whose next event arrived while the event loop was blocked stays at its upstream", async () => {
  // Guards against counting the blocked time as silence between two events.
  const answers: Behaviour = (socket, { id }) => {
    socket.write(createOpenStream(id));
    // Timers that fall due in the meantime run next, as after any blocked
    // iteration of the event loop.
    const sendNext = () => {
      socket.write("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
      blockEventLoop(1_800);
    };
    setTimeout(() => setImmediate(sendNext), 50);
  };
  await using fixture = await createForwardFixture([answers, answers]);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.isTruncated], [200, false]);
  strictEqual(fixture.arrivals.length, 1);
});

test("a response that arrived while the event loop was blocked is passed on after the time-out", async () => {
  // Guards against a 504 for a booking that has been completed.
  await using fixture = await createForwardFixture([
    respondAndBlock(700, createFullResponse),
  ], {
    kind: "at-most-once",
    isResumable: false,
    hasPrompts: false,
    timeoutMs: 500,
  });
  strictEqual((await fixture.call()).status, 200);
});

/**
 * Blocks the event loop when an attempt starts, before anything more is read.
 */
function blockAtAttempt(
  fixture: ForwardFixture,
  forMs: number,
  onBlocked = () => {},
): void {
  fixture.controls.onDecision = ({ event }) => {
    if (event !== "attempt-started") return;
    // Runs after the tick in which Node connects.
    queueMicrotask(() =>
      process.nextTick(() => {
        onBlocked();
        blockEventLoop(forMs);
      })
    );
  };
}

test("a connection that was made while the event loop was blocked is used", async () => {
  // Guards against an upstream that counts as unreachable because the host's
  // event loop was blocked.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(createFullResponse(id));
  }], { kind: "at-most-once", isResumable: false, hasPrompts: false });
  blockAtAttempt(fixture, 700);
  strictEqual((await fixture.call()).status, 200);
  strictEqual(
    fixture.log.some((each) => each.event === "attempt-failed"),
    false,
  );
});

test("nothing is sent for a caller that leaves while the connection is being made", async () => {
  // Guards against a request that is written before the caller's close is read.
  await using fixture = await createForwardFixture([() => {}], {
    kind: "at-most-once",
    isResumable: false,
    hasPrompts: false,
  });
  const caller = fixture.sendRaw("leaves");
  blockAtAttempt(fixture, 300, () => caller.destroy());
  await sleep(500);
  strictEqual(fixture.arrivals.length, 0);
});
