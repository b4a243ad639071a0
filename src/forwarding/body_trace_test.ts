import { deepStrictEqual, ok, strictEqual } from "node:assert";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Decision, LoggedBody } from "../diagnostics/mod.ts";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import { answer, chunk, streamHead } from "../testing/raw_responses.ts";
import { createBodyTrace } from "./body_trace.ts";

const once = { kind: "at-most-once", isResumable: false } as const;
const stream = { kind: "stream", isResumable: false } as const;

/** Time between two looks at a value, in ms. */
const LOOK_MS = 20;

/**
 * A value that is the same in so many looks is stuck. Between two looks the
 * process has read its sockets at least once.
 */
const STUCK_LOOKS = 4;

/** Fields of a body that nothing of was lost and nobody waited for. */
const calm = { unreadBytes: 0, pausedMs: 0, code: undefined };

/** The bodies in the log, with the events of their lines. */
function getBodies(log: readonly Decision[]): readonly [string, LoggedBody][] {
  return log.flatMap((each) =>
    "body" in each && each.body !== undefined ? [[each.event, each.body]] : []
  );
}

/** Serves one request; returns the only body in the log. */
async function getBody(
  behaviour: Behaviour,
  route: Parameters<typeof createForwardFixture>[1],
): Promise<[string, LoggedBody]> {
  await using fixture = await createForwardFixture([behaviour], route);
  await fixture.call();
  const bodies = getBodies(fixture.log);
  strictEqual(bodies.length, 1);
  return bodies[0]!;
}

/** Makes a response of which 800 bytes have arrived and wait to be read. */
function createUnreadResponse() {
  return {
    headers: { "transfer-encoding": "chunked" },
    statusCode: 200,
    readableLength: 800,
    readableEnded: false,
    complete: true,
    socket: { readableEnded: false, writableEnded: false, destroyed: false },
  };
}

test("a response that arrived whole and was lost unread shows in the log", () => {
  // Guards against a loss that looks like a response that was read whole.
  const res = createUnreadResponse();
  const trace = createBodyTrace(res, "POST");
  trace.onRead(4_000);
  trace.onRelayed(3_900);
  trace.onPaused(1_000);
  trace.onConnectionEnd("failed", "ECONNRESET");
  // Destroying the request discards what was not read, and aborts.
  res.readableLength = 0;
  trace.onConnectionEnd("aborted");
  trace.onClosed();
  deepStrictEqual(trace.toLog(1_030), {
    framing: "chunked",
    announcedBytes: undefined,
    receivedBytes: 4_800,
    readBytes: 4_000,
    unreadBytes: 800,
    relayedBytes: 3_900,
    isEndReceived: true,
    pausedMs: 30,
    connection: "failed",
    code: "ECONNRESET",
  });
});

test("the use of a kept connection by a later request does not change the record", () => {
  // Guards against an end that belongs to another request.
  const res = { ...createUnreadResponse(), readableLength: 0 };
  const trace = createBodyTrace(res, "POST");
  res.readableEnded = true;
  trace.onClosed();
  res.socket.destroyed = true;
  strictEqual(trace.toLog(0).connection, "kept");
});

test("a reset behind an orderly end shows as a failure", () => {
  // Guards against a part with a reset behind it that looks like a whole body.
  const res = createUnreadResponse();
  const trace = createBodyTrace(res, "POST");
  res.socket.readableEnded = true;
  trace.onClosed();
  trace.onConnectionEnd("failed", "EPIPE");
  const { connection, code } = trace.toLog(0);
  deepStrictEqual([connection, code], ["failed", "EPIPE"]);
});

test("pauses add up, and one that lasts counts", () => {
  // Guards against a slow caller that does not show in the log.
  const trace = createBodyTrace(createUnreadResponse(), "POST");
  trace.onPaused(100);
  trace.onPaused(110);
  trace.onResumed(120);
  trace.onPaused(200);
  strictEqual(trace.toLog(205).pausedMs, 25);
});

test("a response to HEAD, and one with status 204, has no body", () => {
  // Guards against an end of the connection that is taken for that of a body.
  const res = { ...createUnreadResponse(), headers: { "content-length": "9" } };
  const empty = createBodyTrace(res, "HEAD").toLog(0);
  deepStrictEqual([empty.framing, empty.announcedBytes], ["none", undefined]);
  const deleted = createBodyTrace({ ...res, statusCode: 204 }, "DELETE");
  strictEqual(deleted.toLog(0).framing, "none");
});

test("a response with a length logs its bytes and the kept connection", async () => {
  // Guards against a whole response that can't be told from a cut one.
  const [event, body] = await getBody(
    (socket, { id }) => socket.write(answer(id, "done")),
    once,
  );
  strictEqual(event, "request-ended");
  deepStrictEqual(body, {
    ...calm,
    framing: "length",
    announcedBytes: 4,
    receivedBytes: 4,
    readBytes: 4,
    relayedBytes: 4,
    isEndReceived: true,
    connection: "kept",
  });
});

test("a response without a length logs the orderly close that ended it", async () => {
  // Guards against a part behind which the upstream closes, unseen in the log.
  const [event, body] = await getBody(
    (socket, { id }) =>
      socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n\r\nall`),
    once,
  );
  strictEqual(event, "request-ended");
  deepStrictEqual(body, {
    ...calm,
    framing: "until-close",
    announcedBytes: undefined,
    receivedBytes: 3,
    readBytes: 3,
    relayedBytes: 3,
    isEndReceived: true,
    connection: "closed",
  });
});

test("a response with a length that a close cuts logs what is missing", async () => {
  // Guards against an orderly close that looks like a reset.
  const [event, body] = await getBody(
    (socket, { id }) => socket.end(answer(id, "done").slice(0, -1)),
    once,
  );
  strictEqual(event, "attempt-failed");
  deepStrictEqual(body, {
    ...calm,
    framing: "length",
    announcedBytes: 4,
    receivedBytes: 3,
    readBytes: 3,
    relayedBytes: 0,
    isEndReceived: false,
    connection: "closed",
  });
});

test("a stream that a reset cuts logs the code and what was relayed", async () => {
  // Guards against a failure behind the head of a response that no line tells.
  const event = "id: 1\ndata: a\n\n";
  let upstream: Socket | undefined;
  await using fixture = await createForwardFixture([(socket, { id }) => {
    upstream = socket;
    socket.write(streamHead(id) + chunk(event));
  }], stream);
  const caller = fixture.sendRaw("cut");
  caller.once("data", () => upstream?.resetAndDestroy());
  const [line, body] = await waitForBody(fixture);
  strictEqual(line, "attempt-failed");
  deepStrictEqual(body, {
    ...calm,
    framing: "chunked",
    announcedBytes: undefined,
    receivedBytes: event.length,
    readBytes: event.length,
    relayedBytes: event.length,
    isEndReceived: false,
    connection: "failed",
    code: "ECONNRESET",
  });
});

test("a stream whose caller leaves logs that this host aborted it", async () => {
  // Guards against an end by this host that looks like one by the upstream.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(streamHead(id) + chunk("id: 1\ndata: a\n\n"));
  }], stream);
  const caller = fixture.sendRaw("leaves");
  caller.once("data", () => caller.destroy());
  const [event, body] = await waitForBody(fixture);
  strictEqual(event, "request-ended");
  deepStrictEqual([body.connection, body.isEndReceived], ["aborted", false]);
});

test("a caller that does not read shows as the time of a pause", async () => {
  // Guards against a wait for the caller that looks like a slow upstream.
  const event = `data: ${"a".repeat(100_000)}\n\n`;
  let accepted = 0;
  let isStuck = false;
  async function sendPieces(socket: Socket): Promise<void> {
    while (!isStuck) {
      await new Promise((resolve) => socket.write(chunk(event), resolve));
      accepted++;
    }
    socket.write("0\r\n\r\n");
  }
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(streamHead(id));
    void sendPieces(socket);
  }], stream);
  const caller = fixture.sendRaw("slow");
  caller.pause();
  await waitUntilStuck(() => accepted);
  isStuck = true;
  caller.resume();
  const [, body] = await waitForBody(fixture);
  ok(body.pausedMs >= LOOK_MS, `${body.pausedMs}`);
  deepStrictEqual(
    [body.relayedBytes, body.unreadBytes, body.connection],
    [accepted * event.length, 0, "kept"],
  );
});

test("each attempt logs its own response", async () => {
  // Guards against one body in two lines, of which one names the wrong upstream.
  const fails: Behaviour = (socket, { id }) =>
    socket.write(answer(id, "no", "500 Internal Server Error"));
  await using fixture = await createForwardFixture([
    fails,
    (socket, { id }) => socket.write(answer(id, "done")),
  ], { kind: "idempotent", isResumable: false });
  await fixture.call();
  deepStrictEqual(
    getBodies(fixture.log).map(([event, body]) => [event, body.readBytes]),
    [["attempt-failed", 2], ["request-ended", 4]],
  );
});

async function waitForBody(
  fixture: ForwardFixture,
): Promise<[string, LoggedBody]> {
  while (getBodies(fixture.log).length === 0) await sleep(10);
  return getBodies(fixture.log)[0]!;
}

/** Waits until a value is above 0 and the same in several looks. */
async function waitUntilStuck(read: () => number): Promise<void> {
  let last = 0;
  for (let same = 0; same < STUCK_LOOKS;) {
    await sleep(LOOK_MS);
    same = last > 0 && last === read() ? same + 1 : 0;
    last = read();
  }
}
