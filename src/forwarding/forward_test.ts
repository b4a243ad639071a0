import { deepStrictEqual, ok, rejects, strictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Behaviour,
  createForwardFixture,
  FAULTY_ID,
} from "../testing/forward_fixture.ts";

const plain = { kind: "idempotent", isResumable: false } as const;
const once = { kind: "at-most-once", isResumable: false } as const;

/** An answer with a length, sealed, for the request. */
function answer(id: string, body: string, status = "200 OK"): string {
  return `HTTP/1.1 ${status}\r\nx-id: ${id}\r\nx-seal: s\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}

/** The head of an event stream in chunks. */
function streamHead(id: string): string {
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n` +
    "transfer-encoding: chunked\r\n\r\n";
}

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const answers: Behaviour = (socket, { id }) => socket.write(answer(id, "done"));

test("a request and its answer pass unchanged", async () => {
  let seen = "";
  await using fixture = await createForwardFixture([(socket, req) => {
    seen = req.text;
    answers(socket, req);
  }], once);
  const res = await fixture.call({ body: "a booking" });
  deepStrictEqual([res.status, res.body, res.isCut], [200, "done", false]);
  ok(seen.startsWith("POST /drafts/1 HTTP/1.1\r\n"));
  ok(seen.includes("Content-Length: 9\r\n") && seen.endsWith("a booking"));
});

test("a body without length that a reset cuts is not passed on as whole", async () => {
  // An upstream answers without a length and crashes in the middle. Its reset
  // arrives with the last bytes, which Node reports as an ordinary end. The
  // caller would read half a booking as the whole.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(
      `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n\r\nhalf of`,
      () => socket.resetAndDestroy(),
    );
  }], once);
  strictEqual((await fixture.call()).status, 502);
});

test("a body without length that ends with its connection is whole", async () => {
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n\r\nall of it`);
  }], once);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body], [200, "all of it"]);
});

test("a second answer on a connection is never read as the next one's", async () => {
  // An upstream sends its answer twice. The second lies in the kept connection
  // and would be taken for the answer to whatever is sent there next.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(answer(id, `of ${id}`));
    setTimeout(() => socket.write(answer(id, `of ${id}`)), 20);
  }], once);
  await fixture.call({ id: "one" });
  await sleep(60);
  const res = await fixture.call({ id: "two" });
  strictEqual(res.body, "of two");
});

test("an answer with another request's id is not passed on", async () => {
  await using fixture = await createForwardFixture([
    (socket) => socket.write(answer("another", "not yours")),
  ], once);
  const res = await fixture.call();
  strictEqual(res.status, 502);
  ok(!res.body.includes("not yours"));
});

test("a success that no upstream has sealed is not passed on", async () => {
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r\n`);
  }], once);
  strictEqual((await fixture.call()).status, 502);
});

test("a 503 of an upstream that may have run is not passed on", async () => {
  // The caller would take it for "not run" and book again.
  await using fixture = await createForwardFixture([
    (socket, { id }) => socket.write(answer(id, "", "503 Service Unavailable")),
  ], once);
  strictEqual((await fixture.call()).status, 502);
});

test("what one upstream refused runs at another, once", async () => {
  const refuses: Behaviour = (socket) =>
    socket.write(
      "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    );
  await using fixture = await createForwardFixture([refuses, answers], once);
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.arrivals, ["up-0", "up-1"]);
});

test("a booking whose answer is lost is not sent again, and 502 says so", async () => {
  const loses: Behaviour = (socket) => socket.resetAndDestroy();
  await using fixture = await createForwardFixture([loses, answers], once);
  strictEqual((await fixture.call()).status, 502);
  strictEqual(fixture.arrivals.length, 1);
});

test("a read whose answer is lost is sent again", async () => {
  const loses: Behaviour = (socket) => socket.resetAndDestroy();
  await using fixture = await createForwardFixture([loses, answers], plain);
  strictEqual((await fixture.call()).status, 200);
});

test("a read whose answer is lost ends 502 where no other upstream is left", async () => {
  // Guards against 503, which promises that it has not run.
  const loses: Behaviour = (socket) => socket.resetAndDestroy();
  await using fixture = await createForwardFixture([loses], plain);
  strictEqual((await fixture.call()).status, 502);
});

test("a stream that has run and waits for another upstream in vain ends 502", async () => {
  // Guards against the queue's 503, which promises that it has not run.
  const breaks: Behaviour = (socket) => {
    fixture.delay.inFlight = 48;
    socket.resetAndDestroy();
  };
  await using fixture = await createForwardFixture([breaks, answers], {
    hasPrompts: true,
  });
  using _looks = fixture.startLooks();
  strictEqual((await fixture.call()).status, 502);
  strictEqual(fixture.arrivals.length, 1);
});

test("a stream that breaks off goes on at another upstream without a gap", async () => {
  // The first upstream crashes in the middle of its third event. The caller
  // must get each event once, whole, and see one answer.
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
  strictEqual(res.isCut, false);
});

test("pacing is told of a first event, and once of an answer that paused too long", async () => {
  // What upstreams may have to read is learned from what answers show. Told
  // nothing, the limit would stay where it starts; told of each late pause of one
  // bad answer, it would close for all.
  await using fixture = await createForwardFixture([async (socket, { id }) => {
    socket.write(streamHead(id) + chunk("id: 1\ndata: a\n\n"));
    for (const event of [2, 3]) {
      await sleep(60);
      socket.write(chunk(`id: ${event}\ndata: b\n\n`));
    }
    socket.write("0\r\n\r\n");
  }], { kind: "stream", hasPrompts: true, pauseTargetMs: 20 });
  strictEqual((await fixture.call()).status, 200);
  // The prompt's own part of 1,000 tokens, attention counted.
  deepStrictEqual(fixture.paced.firstEvents, [1_088]);
  deepStrictEqual(fixture.paced.pauses, [true]);
});

test("a stream that can't go on is cut and never looks complete", async () => {
  const breaks: Behaviour = (socket, { id }) => {
    socket.write(streamHead(id) + chunk("id: 1\ndata: a\n\n"));
    setTimeout(() => socket.resetAndDestroy(), 20);
  };
  await using fixture = await createForwardFixture([breaks, answers], {
    isResumable: false,
  });
  const res = await fixture.call();
  deepStrictEqual([res.status, res.isCut], [200, true]);
  strictEqual(fixture.arrivals.length, 1);
});

test("an upstream is told at once when the caller leaves", async () => {
  let closedMs = 0;
  await using fixture = await createForwardFixture([(socket) => {
    socket.on("close", () => closedMs = performance.now());
  }]);
  const startMs = performance.now();
  await rejects(fixture.call({ leaveAfterMs: 50 }));
  await sleep(100);
  ok(closedMs > startMs && closedMs - startMs < 200);
});

test("an unknown key is refused with 401 and reaches no upstream", async () => {
  await using fixture = await createForwardFixture([answers]);
  strictEqual((await fixture.call({ key: "wrong" })).status, 401);
  deepStrictEqual(fixture.arrivals, []);
});

test("each end is explained by the request's own lines", async () => {
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

test("a request whose caller closed right behind it is not sent on", async () => {
  // The host was busy for seconds; the caller gave up meanwhile. Request and
  // close lie in the socket together, and the upstream would work for nobody.
  await using fixture = await createForwardFixture([answers], once);
  await fixture.sendAndClose();
  await sleep(100);
  deepStrictEqual(fixture.arrivals, []);
});

test("a prompt whose caller leaves as it is picked counts for nothing", async () => {
  // Left in the sums of load, its tokens would keep an upstream looking busy to
  // all hosts for good.
  await using fixture = await createForwardFixture([() => {}], {
    hasPrompts: true,
  });
  await rejects(fixture.call({ leaveAfterMs: 30 }));
  await sleep(50);
  strictEqual(fixture.getReadingTokens(), 0);
});

test("a host that is behind refuses, and closes the connection", async () => {
  // A flood through one connection pool keeps one host busy for seconds. What it
  // reads late is refused, not run; the closed connection sends the caller to
  // another host, where the request is in time.
  await using fixture = await createForwardFixture([answers], once);
  fixture.delay.isBehind = true;
  const res = await fixture.call();
  deepStrictEqual([res.status, res.headers.connection], [503, "close"]);
  fixture.delay.isBehind = false;
  const next = await fixture.call();
  deepStrictEqual([next.status, next.headers.connection], [200, "keep-alive"]);
  strictEqual(fixture.arrivals.length, 1);
});

test("a request whose time was over before it was read is not sent on", async () => {
  // The caller has left; its close stands behind the request in the same socket.
  await using fixture = await createForwardFixture([answers], once);
  fixture.delay.unreadMs = 60_000;
  strictEqual((await fixture.call()).status, 503);
  strictEqual(fixture.arrivals.length, 0);
});

test("the rest of a long body arrives whole behind an early answer", async () => {
  // An upstream answers a long request from its head alone, keeps the connection
  // and reads on. If the rest were cut short or the connection used at once, the
  // next request's bytes would stand where the body's are due.
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

test("a request leaves two lines, and two more for each further attempt", async () => {
  // The volume of the log is bounded by the requests, not by the events of their
  // answers or by how long they wait: under overload a refusal is one line.
  const loses: Behaviour = (socket) => socket.resetAndDestroy();
  const lines = async (behaviours: Behaviour[], isBehind = false) => {
    await using fixture = await createForwardFixture(behaviours, plain);
    fixture.delay.isBehind = isBehind;
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

test("what would wait in vain is refused before its body has come", async () => {
  // Guards against a flood that takes a host's time for requests it refuses.
  await using fixture = await createForwardFixture([answers], {
    kind: "stream",
    hasPrompts: true,
  });
  fixture.delay.inFlight = 48;
  fixture.delay.shareUsed = 2;
  const waiting = ["1", "2", "3", "4"].map((id) =>
    fixture.call({ id, leaveAfterMs: 400 }).catch(() => undefined)
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

test("a fault while a request is looked at ends that request alone", async () => {
  // Guards against a process that ends, and cuts all that it serves.
  await using fixture = await createForwardFixture([answers], once);
  strictEqual((await fixture.call({ id: FAULTY_ID })).status, 502);
  strictEqual((await fixture.call()).status, 200);
});

test("a start says how long the request waited, and in which turn it began", async () => {
  // Guards against requests sent on for nobody whose cause no line tells.
  await using fixture = await createForwardFixture([answers], {
    kind: "stream",
    hasPrompts: true,
  });
  fixture.delay.unreadMs = 40;
  await fixture.call();
  const start = fixture.log.find((each) => each.event === "attempt-started");
  ok(start?.event === "attempt-started");
  ok(start.waitedMs >= 40 && start.queuedMs! < 40);
  deepStrictEqual([start.turnMs, start.unreadMs], [0, 40]);
  const end = fixture.log.find((each) => each.event === "request-ended");
  ok(end?.event === "request-ended" && end.sinceAttemptMs! <= end.totalMs);
});

test("pacing is not told of a pause that was this host's own", async () => {
  // Guards against a busy host that narrows what all hosts give upstreams to read.
  await using fixture = await createForwardFixture([async (socket, { id }) => {
    socket.write(streamHead(id) + chunk("id: 1\ndata: a\n\n"));
    await sleep(60);
    socket.write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  }], { kind: "stream", hasPrompts: true, pauseTargetMs: 20 });
  fixture.delay.unreadMs = 100;
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.paced.pauses, [false]);
});
