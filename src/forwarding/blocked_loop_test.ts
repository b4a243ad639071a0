import { deepStrictEqual, strictEqual } from "node:assert";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Socket } from "node:net";
import { block } from "../testing/block.ts";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";

const CALLERS = 8;

/** Callers whose prompts wait since no upstream has room. */
async function openQueuedCalls(
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
      const sockets = await openQueuedCalls(fixture);
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
  await openQueuedCalls(fixture);
  block(200);
  fixture.delay.inFlight = 0;
  await sleep(100);
  deepStrictEqual(fixture.arrivals, Array(CALLERS).fill("up-0"));
});

/** Answers at once, and keeps the host from reading it for so long, in ms. */
function respondAndBlock(
  forMs: number,
  text: (id: string) => string,
): Behaviour {
  return (socket, { id }) => {
    socket.write(text(id));
    block(forMs);
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

test("an idempotent call whose answer came in a long turn is not sent again", async () => {
  // Guards against a pause of this host that counts as an upstream's silence.
  const answers = respondAndBlock(2_300, createFullResponse);
  await using fixture = await createForwardFixture([answers, answers], {
    kind: "idempotent",
    isResumable: false,
    hasPrompts: false,
  });
  strictEqual((await fixture.call()).status, 200);
  strictEqual(fixture.arrivals.length, 1);
});

test("a stream whose first event came in a long turn is not sent again", async () => {
  // Guards against the same where a stream is begun.
  const answers = respondAndBlock(
    1_800,
    (id) => `${createOpenStream(id)}0\r\n\r\n`,
  );
  await using fixture = await createForwardFixture([answers, answers]);
  strictEqual((await fixture.call()).status, 200);
  strictEqual(fixture.arrivals.length, 1);
});

test("a stream whose next event came in a long turn goes on where it is", async () => {
  // Guards against the same between two events.
  const answers: Behaviour = (socket, { id }) => {
    socket.write(createOpenStream(id));
    // Timers that fall due meanwhile run next, as after any long turn.
    const sendNext = () => {
      socket.write("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
      block(1_800);
    };
    setTimeout(() => setImmediate(sendNext), 50);
  };
  await using fixture = await createForwardFixture([answers, answers]);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.isCut], [200, false]);
  strictEqual(fixture.arrivals.length, 1);
});

test("an answer that came in a long turn is passed on at its time limit", async () => {
  // Guards against a finished booking that is answered 504.
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

/** Blocks once a request is being sent on, before anything more is read. */
function blockAtAttempt(
  fixture: ForwardFixture,
  forMs: number,
  onBlocked = () => {},
): void {
  fixture.delay.onDecision = ({ event }) => {
    if (event !== "attempt-started") return;
    // Behind the tick in which Node connects.
    queueMicrotask(() =>
      process.nextTick(() => {
        onBlocked();
        block(forMs);
      })
    );
  };
}

test("a connection that was made in a long turn is used", async () => {
  // Guards against an upstream that is called unreachable for the host's pause.
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

test("nothing is sent for a caller that leaves while a connection is made", async () => {
  // Guards against a request that is written before the close is read.
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
