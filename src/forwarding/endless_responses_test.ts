import { deepStrictEqual, match, ok, strictEqual } from "node:assert";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { Decision } from "../diagnostics/mod.ts";
import { createEndlessUpstream } from "../testing/endless_upstream.ts";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import { waitUntil } from "../testing/held_upstream.ts";
import { answer, chunk, streamHead } from "../testing/raw_responses.ts";
import { MAX_DRAINED_BYTES } from "./drain_body.ts";
import { MAX_EVENT_BYTES } from "./event_splitter.ts";
import { MAX_OVERHEAD_BYTES } from "./overhead_watch.ts";

/** Largest number of bytes that the host reads at once. */
const READ_BYTES = 64 * 1024;

const stream = { kind: "stream", isResumable: false } as const;

const idempotent = { kind: "idempotent", isResumable: false } as const;
const resumable = { kind: "stream", isResumable: true } as const;
const once = { kind: "at-most-once", isResumable: false } as const;

const answers: Behaviour = (socket, { id }) =>
  void socket.write(answer(id, "done"));

type FailedAttempt = Extract<Decision, { event: "attempt-failed" }>;

function getFailedAttempts({ log }: ForwardFixture): readonly FailedAttempt[] {
  return log.filter((each) => each.event === "attempt-failed");
}

test("an event without an end is given up at its limit, without suspicion of its content", async () => {
  // Guards against a host whose memory one upstream fills.
  const endless = createEndlessUpstream("event");
  await using fixture = await createForwardFixture(
    [endless.behaviour],
    stream,
  );
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body.includes("data")], [502, false]);
  await endless.waitUntilClosed();
  const [failed] = getFailedAttempts(fixture);
  deepStrictEqual([failed?.kind, failed?.fingerprint], ["broken", undefined]);
  match(failed!.reason, /An event is larger than/);
  ok(failed!.body!.readBytes <= MAX_EVENT_BYTES + READ_BYTES);
  ok(!fixture.log.some((each) => each.event === "content-suspected"));
});

test("an endless body of a refusal is closed at its limit, and another upstream serves", async () => {
  // Guards against a host that reads for nobody until the upstream ends.
  const endless = createEndlessUpstream("not-run-body");
  await using fixture = await createForwardFixture(
    [endless.behaviour, answers],
    once,
  );
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body], [200, "done"]);
  await endless.waitUntilClosed();
  const closed = fixture.log.find((each) =>
    each.event === "drained-body-closed"
  );
  match(closed!.reason, /larger than/);
  ok(closed!.readBytes <= MAX_DRAINED_BYTES + READ_BYTES);
});

test("the connection of a refusal whose body does not end is closed in time", async () => {
  // Guards against connections that are kept for bodies that never end.
  const sockets: Socket[] = [];
  await using fixture = await createForwardFixture([(socket, { id }) => {
    sockets.push(socket);
    socket.write(
      `HTTP/1.1 421 Misdirected Request\r\nx-id: ${id}\r\n` +
        "content-length: 9\r\n\r\nnot all",
    );
  }], once);
  strictEqual((await fixture.call()).status, 503);
  await waitUntil(() => sockets[0]!.destroyed, "close of the connection");
});

test("the connection of a refusal with a short body is used again", async () => {
  // Guards against a new connection for each refusal.
  const sockets = new Set<Socket>();
  await using fixture = await createForwardFixture([(socket, { id }) => {
    sockets.add(socket);
    socket.write(answer(id, "not here", "421 Misdirected Request"));
  }], once);
  for (const id of ["first", "second"]) {
    strictEqual((await fixture.call({ id })).status, 503);
  }
  strictEqual(sockets.size, 1);
});

/** Parts whose bytes are no response, as the parser sees at once. */
const unparsedParts = [
  "status-line",
  "head",
  "chunk-extension",
  "trailer",
] as const;

for (const part of unparsedParts) {
  for (const route of [stream, once]) {
    test(`an endless ${part} fails a ${route.kind} request at once, without suspicion of its content`, async () => {
      // Guards against content that is blamed for bytes that are no response.
      const endless = createEndlessUpstream(part);
      await using fixture = await createForwardFixture(
        [endless.behaviour],
        route,
      );
      strictEqual((await fixture.call()).status, 502);
      await endless.waitUntilClosed();
      const [failed] = getFailedAttempts(fixture);
      deepStrictEqual([failed?.kind, failed?.fingerprint], [
        "broken",
        undefined,
      ]);
      match(failed!.reason, /^HPE_/);
    });
  }
}

test("endless bytes behind a whole body end the connection, and the body is passed on", async () => {
  // Guards against a whole response that is lost, or read on without end.
  const endless = createEndlessUpstream("bytes-behind");
  await using fixture = await createForwardFixture([endless.behaviour], once);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body.length], [200, 1_000]);
  await endless.waitUntilClosed();
});

/** Parts whose bytes the parser drops without a word. */
const droppedParts = ["interim-heads", "empty-lines", "chunk-size"] as const;

for (const part of droppedParts) {
  for (const route of [stream, once]) {
    test(`endless bytes of the kind ${part} fail a ${route.kind} request as broken`, async () => {
      // Guards against a host that parses for nobody until the deadline.
      const endless = createEndlessUpstream(part);
      await using fixture = await createForwardFixture(
        [endless.behaviour],
        route,
      );
      strictEqual((await fixture.call()).status, 502);
      await endless.waitUntilClosed();
      const [failed] = getFailedAttempts(fixture);
      deepStrictEqual([failed?.kind, failed?.fingerprint], [
        "broken",
        undefined,
      ]);
      const bytes = Number(/^\d+/.exec(failed!.reason)?.[0]);
      ok(bytes <= MAX_OVERHEAD_BYTES + READ_BYTES, failed!.reason);
    });
  }
}

test("a response behind interim heads whose body comes in chunks of a byte is passed on", async () => {
  // Guards against small chunks that count as bytes without an end.
  const body = "x".repeat(30_000);
  const chunks = chunk("x").repeat(body.length);
  await using fixture = await createForwardFixture([(socket, { id }) => {
    const interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(9);
    socket.write(`${interim}${streamHead(id)}${chunks}0\r\n\r\n`);
  }], once);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body === body], [200, true]);
});

test("a connection that serves several requests keeps no listener of earlier ones", async () => {
  // Guards against a count of bytes that goes on for each past response.
  await using fixture = await createForwardFixture([answers], once);
  const counts: number[] = [];
  for (const id of ["first", "second", "third"]) {
    strictEqual((await fixture.call({ id })).status, 200);
    const sockets = Object.values(fixture.agent.freeSockets).flat();
    counts.push(...sockets.map((each) => each!.listenerCount("data")));
  }
  deepStrictEqual(counts, [counts[0], counts[0], counts[0]]);
});

/**
 * Number of calls that are under way at the same time: no more than a host may
 * send again before its first success.
 */
const CONCURRENT_CALLS = 4;

const EVENT = "id: 1\ndata: a\n\n";

const servesEvent: Behaviour = (socket, { id }) =>
  void socket.write(answer(id, EVENT));

const failures = [
  { part: "event", route: resumable },
  { part: "chunked-body", route: idempotent },
  { part: "body-until-close", route: idempotent },
  { part: "interim-heads", route: idempotent },
  { part: "head", route: idempotent },
  { part: "trailer", route: idempotent },
] as const;

for (const { part, route } of failures) {
  test(`while one upstream sends an endless ${part}, all ${route.kind} requests are served`, async () => {
    // Guards against one upstream whose bytes keep a host from its callers.
    const endless = createEndlessUpstream(part);
    await using fixture = await createForwardFixture(
      [endless.behaviour, servesEvent],
      route,
    );
    const responses = await Promise.all(
      Array.from(
        { length: CONCURRENT_CALLS },
        (_, at) => fixture.call({ id: `request-${at}` }),
      ),
    );
    ok(fixture.arrivals.includes("up-0"));
    deepStrictEqual(
      responses.map(({ status, body }) => [status, body]),
      responses.map(() => [200, EVENT]),
    );
    await endless.waitUntilClosed();
  });

  test(`an endless ${part} counts as a failure of its upstream`, async (t) => {
    // Guards against request after request to an upstream that fails at once.
    const endless = createEndlessUpstream(part);
    await using fixture = await createForwardFixture(
      [endless.behaviour, servesEvent],
      route,
    );
    const { mock } = t.mock.method(fixture.health, "recordFailure");
    strictEqual((await fixture.call()).status, 200);
    deepStrictEqual(mock.calls.map((each) => each.arguments), [
      ["up-0", "failed"],
    ]);
    ok(!fixture.log.some((each) => each.event === "content-suspected"));
  });
}
