import { deepStrictEqual, ok, rejects, strictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createHeldUpstream, waitUntil } from "../testing/held_upstream.ts";
import { answer, chunk, streamHead } from "../testing/raw_responses.ts";
import { INTERNAL_ERROR_ID, UNSENDABLE_ID } from "../testing/call_codec.ts";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";

const plain = { kind: "idempotent", isResumable: false } as const;
const once = { kind: "at-most-once", isResumable: false } as const;

/** Longest time from the close by a caller to that by the host, in ms. */
const MAX_CLOSE_MS = 150;

const answers: Behaviour = (socket, { id }) => socket.write(answer(id, "done"));

test("a request and its response are forwarded unchanged", async () => {
  let seen = "";
  await using fixture = await createForwardFixture([(socket, req) => {
    seen = req.text;
    answers(socket, req);
  }], once);
  const res = await fixture.call({ body: "a booking" });
  deepStrictEqual([res.status, res.body, res.isTruncated], [
    200,
    "done",
    false,
  ]);
  ok(seen.startsWith("POST /drafts/1 HTTP/1.1\r\n"));
  ok(seen.includes("Content-Length: 9\r\n") && seen.endsWith("a booking"));
});

test("a body without a length that is cut by a reset is not passed on as complete", async () => {
  // An upstream sends a response without a length and crashes in the middle.
  // Its reset arrives with the last bytes, which Node reports as an ordinary
  // end. The caller would take half a response for a complete one.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(
      `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n\r\nhalf of`,
      () => socket.resetAndDestroy(),
    );
  }], once);
  strictEqual((await fixture.call()).status, 502);
});

test("a body without a length that ends with an orderly close is complete", async () => {
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n\r\nall of it`);
  }], once);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body], [200, "all of it"]);
});

test("a second response on a connection is never read as the response to the next request", async () => {
  // An upstream sends its response twice. The second copy waits in the
  // kept-alive connection and would be read as the response to the next request
  // on it.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(answer(id, `of ${id}`));
    setTimeout(() => socket.write(answer(id, `of ${id}`)), 20);
  }], once);
  await fixture.call({ id: "one" });
  await sleep(60);
  const res = await fixture.call({ id: "two" });
  strictEqual(res.body, "of two");
});

test("a response with another request's id is not passed on", async () => {
  await using fixture = await createForwardFixture([
    (socket) => socket.write(answer("another", "not yours")),
  ], once);
  const res = await fixture.call();
  strictEqual(res.status, 502);
  ok(!res.body.includes("not yours"));
});

test("a successful response without an upstream's seal is not passed on", async () => {
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r\n`);
  }], once);
  strictEqual((await fixture.call()).status, 502);
});

test("a 503 for a request that may have run is not passed on", async () => {
  // The caller would read the status as "not run" and repeat the booking.
  await using fixture = await createForwardFixture([
    (socket, { id }) => socket.write(answer(id, "", "503 Service Unavailable")),
  ], once);
  strictEqual((await fixture.call()).status, 502);
});

test("a request that one upstream rejects runs once, at another", async () => {
  const refuses: Behaviour = (socket) =>
    socket.write(
      "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    );
  await using fixture = await createForwardFixture([refuses, answers], once);
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.arrivals, ["up-0", "up-1"]);
});

test("a request that an upstream's address does not admit is served by another one", async () => {
  // Guards against an exception of one attempt that ends the request, and that
  // leaves the upstream the least loaded of all.
  await using fixture = await createForwardFixture([answers], once, {
    preferredAddresses: ["127.0.0.1:80800"],
  });
  strictEqual((await fixture.call()).status, 200);
  strictEqual(fixture.health.isUnhealthy("preferred-0"), true);
});

test("a request that can't be written for any upstream ends as not run", async () => {
  // Guards against a 502 for what never left this host, and against an upstream
  // that counts as unreachable for it.
  await using fixture = await createForwardFixture([answers], once);
  strictEqual((await fixture.call({ id: UNSENDABLE_ID })).status, 503);
  strictEqual(fixture.health.isUnhealthy("up-0"), false);
  deepStrictEqual(fixture.arrivals, []);
});

test("a booking whose response is lost is not sent again and ends with 502", async () => {
  const loses: Behaviour = (socket) => socket.resetAndDestroy();
  await using fixture = await createForwardFixture([loses, answers], once);
  strictEqual((await fixture.call()).status, 502);
  strictEqual(fixture.arrivals.length, 1);
});

test("a read whose response is lost is sent again", async () => {
  const loses: Behaviour = (socket) => socket.resetAndDestroy();
  await using fixture = await createForwardFixture([loses, answers], plain);
  strictEqual((await fixture.call()).status, 200);
});

test("a read whose response is lost ends with 502 if no other upstream is left", async () => {
  // Guards against a 503, which promises that the request has not run.
  const loses: Behaviour = (socket) => socket.resetAndDestroy();
  await using fixture = await createForwardFixture([loses], plain);
  strictEqual((await fixture.call()).status, 502);
});

test("a stream that may have run and then finds no upstream ends with 502", async () => {
  // Guards against the queue's 503, which promises that the request has not
  // run.
  const breaks: Behaviour = (socket) => {
    fixture.controls.inFlight = 48;
    socket.resetAndDestroy();
  };
  await using fixture = await createForwardFixture([breaks, answers], {
    hasPrompts: true,
  });
  using _passes = fixture.startSchedulingPasses();
  strictEqual((await fixture.call()).status, 502);
  strictEqual(fixture.arrivals.length, 1);
});

test("a stream that breaks off is resumed at another upstream without a gap", async () => {
  // The first upstream crashes in the middle of its third event. The caller
  // must receive each event once, complete, and within one response.
  const breaks: Behaviour = (socket, { id }) => {
    socket.write(
      streamHead(id) + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
    );
    setTimeout(() => {
      socket.write(chunk("id: 3\nda"), () => socket.resetAndDestroy());
    }, 20);
  };
  let from = "";
  const goesOn: Behaviour = (socket, { id, text }) => {
    from = /x-last-event: (\S+)/.exec(text)?.[1] ?? "";
    socket.write(streamHead(id) + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
  };
  await using fixture = await createForwardFixture([breaks, goesOn]);
  const res = await fixture.call();
  strictEqual(from, "2");
  strictEqual(
    res.body,
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
  );
  strictEqual(res.isTruncated, false);
});

test("pacing gets one sample for a first event and one for a response that paused too long", async () => {
  // The prefill limit is learned from observed responses. Without samples it
  // would stay at its initial value; with one sample for each late pause of a
  // single bad response it would fall to its minimum for all requests.
  await using fixture = await createForwardFixture([async (socket, { id }) => {
    socket.write(streamHead(id) + chunk("id: 1\ndata: a\n\n"));
    for (const event of [2, 3]) {
      await sleep(60);
      socket.write(chunk(`id: ${event}\ndata: b\n\n`));
    }
    socket.write("0\r\n\r\n");
  }], { kind: "stream", hasPrompts: true, pauseTargetMs: 20 });
  strictEqual((await fixture.call()).status, 200);
  // The 1,000 tokens of the prompt's unshared part, weighted by attention cost.
  deepStrictEqual(fixture.recordedPacing.firstEvents, [1_088]);
  deepStrictEqual(fixture.recordedPacing.pauses, [true]);
});

test("a stream that cannot be resumed is cut and never looks complete", async () => {
  const breaks: Behaviour = (socket, { id }) => {
    socket.write(streamHead(id) + chunk("id: 1\ndata: a\n\n"));
    setTimeout(() => socket.resetAndDestroy(), 20);
  };
  await using fixture = await createForwardFixture([breaks, answers], {
    isResumable: false,
  });
  const res = await fixture.call();
  deepStrictEqual([res.status, res.isTruncated], [200, true]);
  strictEqual(fixture.arrivals.length, 1);
});

test("the upstream's connection is closed at once when the caller disconnects", async () => {
  // Guards against an upstream that works on for a caller that has left.
  const held = createHeldUpstream();
  await using fixture = await createForwardFixture([held.behaviour]);
  const caller = fixture.sendRaw("leaves");
  const upstream = await held.waitForRequest("leaves");
  const startMs = performance.now();
  caller.destroy();
  await waitUntil(() => upstream.closed, "close of the connection");
  const tookMs = performance.now() - startMs;
  ok(tookMs < MAX_CLOSE_MS, `Closed after ${tookMs} ms`);
});

test("an unknown key is rejected with 401 and reaches no upstream", async () => {
  await using fixture = await createForwardFixture([answers]);
  strictEqual((await fixture.call({ key: "wrong" })).status, 401);
  deepStrictEqual(fixture.arrivals, []);
});

test("each request logs its start and its end under its own id", async () => {
  await using fixture = await createForwardFixture([answers], once);
  await fixture.call({ id: "explained" });
  const lines = fixture.log.filter((each) =>
    "request" in each && each.request === "explained"
  );
  deepStrictEqual(lines.map((each) => each.event), [
    "attempt-started",
    "request-ended",
  ]);
});

test("a request whose caller closed right after sending it is not forwarded", async () => {
  // The event loop was blocked for seconds, and the caller disconnected in the
  // meantime. Its request and its close are in the socket together. If only the
  // request were read, the upstream would work for a caller that has
  // disconnected.
  await using fixture = await createForwardFixture([answers], once);
  await fixture.sendAndClose();
  await sleep(100);
  deepStrictEqual(fixture.arrivals, []);
});

test("a prompt whose caller disconnects as it is picked leaves no load behind", async () => {
  // If its tokens stayed in this host's load reports, the upstream would look
  // busy to all hosts forever.
  await using fixture = await createForwardFixture([() => {}], {
    hasPrompts: true,
  });
  await rejects(fixture.call({ disconnectAfterMs: 30 }));
  await sleep(50);
  strictEqual(fixture.getReadingTokens(), 0);
});

test("a prompt counts as begun once, however many upstreams accept no connection for it", async () => {
  // Guards against a flood that counts as served more than it asks for after upstreams have crashed, so that no team lacks anything.
  await using fixture = await createForwardFixture(
    [(socket, { id }) =>
      socket.write(streamHead(id) + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n")],
    { kind: "stream", hasPrompts: true },
    { preferredAddresses: ["127.0.0.1:1", "127.0.0.1:2"] },
  );
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.repeatedStarts, [false, true, true]);
});

test("an overloaded host rejects requests and closes the connection", async () => {
  // A burst of requests over one connection pool overloads one host for
  // seconds. Requests that it reads late are rejected without being run; the
  // closed connection makes the caller reconnect to another host, which can
  // serve the request in time.
  await using fixture = await createForwardFixture([answers], once);
  fixture.controls.isOverloaded = true;
  const res = await fixture.call();
  deepStrictEqual([res.status, res.headers.connection], [503, "close"]);
  fixture.controls.isOverloaded = false;
  const next = await fixture.call();
  deepStrictEqual([next.status, next.headers.connection], [200, "keep-alive"]);
  strictEqual(fixture.arrivals.length, 1);
});

test("a request whose time-out passed before it was read is not forwarded", async () => {
  // The caller has disconnected; its close is in the socket behind the request.
  await using fixture = await createForwardFixture([answers], once);
  fixture.controls.unreadMs = 60_000;
  strictEqual((await fixture.call()).status, 503);
  strictEqual(fixture.arrivals.length, 0);
});

test("the rest of a long request body is sent completely after an early response", async () => {
  // An upstream responds to a long request after reading its head, keeps the
  // connection open and reads on. If the rest of the body were cut off, or the
  // connection reused at once, the upstream would read the next request's bytes
  // as part of this body.
  const long = "b".repeat(95_000);
  let seen = "";
  const early: Behaviour = (socket, { id, text }) => {
    if (id === "long") {
      seen += text;
      socket.on("data", (bytes) => seen += bytes.toString("latin1"));
    }
    socket.write(answer(id, `to ${id}`));
  };
  await using fixture = await createForwardFixture([early], once);
  const first = await fixture.call({ id: "long", body: long });
  const second = await fixture.call({ id: "next" });
  deepStrictEqual([first.body, second.body], ["to long", "to next"]);
  const body = seen.slice(seen.indexOf("\r\n\r\n") + 4);
  strictEqual(body.slice(0, long.length), long);
  const behind = body.slice(long.length);
  ok(behind === "" || behind.startsWith("POST "), behind.slice(0, 40));
});

test("a request logs two lines, and two more for each further attempt", async () => {
  // The log volume depends on the number of requests and attempts, not on the
  // number of events in a response or on waiting time. Under overload, a
  // rejected request logs one line.
  const loses: Behaviour = (socket) => socket.resetAndDestroy();
  const lines = async (behaviours: Behaviour[], isOverloaded = false) => {
    await using fixture = await createForwardFixture(behaviours, plain);
    fixture.controls.isOverloaded = isOverloaded;
    await fixture.call();
    return fixture.log.map(({ event }) => event);
  };
  deepStrictEqual(await lines([answers]), ["attempt-started", "request-ended"]);
  deepStrictEqual(await lines([answers], true), ["request-ended"]);
  deepStrictEqual(await lines([loses, answers]), [
    "attempt-started",
    "attempt-failed",
    "attempt-started",
    "request-ended",
  ]);
});

test("a prompt that could not start in time is refused before its body has arrived", async () => {
  // Guards against a burst of requests that costs a host CPU time although it
  // rejects them.
  await using fixture = await createForwardFixture([answers], {
    kind: "stream",
    hasPrompts: true,
  });
  fixture.controls.inFlight = 48;
  fixture.controls.shareUsed = 2;
  const waiting = ["1", "2", "3", "4"].map((id) =>
    fixture.call({ id, disconnectAfterMs: 400 }).catch(() => undefined)
  );
  await sleep(200);
  ok((await fixture.sendHead()).startsWith("HTTP/1.1 503 "));
  const end = fixture.log.findLast((each) => each.event === "request-ended");
  ok(end?.event === "request-ended");
  deepStrictEqual([end.request, end.team, end.outcome, end.attempts], [
    "head",
    "fitters",
    "not-run",
    0,
  ]);
  strictEqual(end.queue?.backlog?.waiting, 4);
  strictEqual(fixture.arrivals.length, 0);
  await Promise.all(waiting);
});

test("an exception while a request is read ends only that request", async () => {
  // Guards against an exception that ends the process and all requests that it
  // serves.
  await using fixture = await createForwardFixture([answers], once);
  strictEqual((await fixture.call({ id: INTERNAL_ERROR_ID })).status, 502);
  strictEqual((await fixture.call()).status, 200);
});

test("attempt-started logs the waiting time and the event-loop delay", async () => {
  // Guards against requests forwarded for callers that have disconnected,
  // without a log line that shows why.
  await using fixture = await createForwardFixture([answers], {
    kind: "stream",
    hasPrompts: true,
  });
  fixture.controls.unreadMs = 40;
  await fixture.call();
  const start = fixture.log.find((each) => each.event === "attempt-started");
  ok(start?.event === "attempt-started");
  ok(start.waitedMs >= 40 && start.queuedMs! < 40);
  deepStrictEqual([start.turnMs, start.unreadMs], [0, 40]);
  const end = fixture.log.find((each) => each.event === "request-ended");
  ok(end?.event === "request-ended" && end.sinceAttemptMs! <= end.totalMs);
});

test("a pause caused by this host is not sampled as a late pause", async () => {
  // Guards against an overloaded host that reduces the prefill limit of all
  // hosts because its own delays count as pauses of the upstream.
  await using fixture = await createForwardFixture([async (socket, { id }) => {
    socket.write(streamHead(id) + chunk("id: 1\ndata: a\n\n"));
    await sleep(60);
    socket.write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  }], { kind: "stream", hasPrompts: true, pauseTargetMs: 20 });
  fixture.controls.unreadMs = 100;
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.recordedPacing.pauses, [false]);
});
