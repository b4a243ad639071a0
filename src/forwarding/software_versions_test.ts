import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { chunk, streamHead } from "../testing/raw_responses.ts";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";

const LAST_EVENT = 4;

/** Delay before an upstream that dies resets its connection, in ms. */
const DIES_AFTER_MS = 20;

function createEvent(id: number, writer: string): string {
  return `id: ${id}\ndata: ${writer}\n\n`;
}

/** Writes the events after the one that the request names, to the end. */
function writesAs(writer: string): Behaviour {
  return (socket, { id, text }) => {
    const last = Number(/x-last-event: (\S+)/.exec(text)?.[1] ?? 0);
    socket.write(streamHead(id));
    for (let event = last + 1; event <= LAST_EVENT; event++) {
      socket.write(chunk(createEvent(event, writer)));
    }
    socket.write("0\r\n\r\n");
  };
}

/** Writes two events and dies in the middle of the third. */
function diesAs(writer: string): Behaviour {
  return (socket, { id }) => {
    const events = createEvent(1, writer) + createEvent(2, writer);
    socket.write(streamHead(id) + chunk(events));
    setTimeout(() => {
      socket.write(chunk("id: 3\nda"), () => socket.resetAndDestroy());
    }, DIES_AFTER_MS);
  };
}

/** The writers of the events, in order. */
function getWriters(body: string): readonly string[] {
  return [...body.matchAll(/data: (\S+)/g)].map(([, writer]) => writer!);
}

function getLines<E extends string>(fixture: ForwardFixture, event: E) {
  return fixture.log.filter((each) => each.event === event);
}

test("the log tells at which software versions a stream began and went on", async () => {
  await using fixture = await createForwardFixture(
    [diesAs("one"), writesAs("two")],
    {},
    { softwareVersions: ["v1", "v1"] },
  );
  await fixture.call({ resumes: "earlier" });
  const started = getLines(fixture, "attempt-started").map((each) => [
    "softwareVersion" in each && each.softwareVersion,
    "streamVersion" in each && each.streamVersion,
    "resumes" in each && each.resumes,
  ]);
  deepStrictEqual(started, [
    ["v1", undefined, "earlier"],
    ["v1", "v1", "earlier"],
  ]);
  const [end] = getLines(fixture, "request-ended");
  ok(end?.event === "request-ended");
  deepStrictEqual(end.eventVersions, ["v1"]);
  strictEqual(end.resumes, "earlier");
});

test("a response without events is logged without software versions", async () => {
  await using fixture = await createForwardFixture([
    (socket) => socket.resetAndDestroy(),
  ], { maxAttempts: 1 });
  await fixture.call();
  const [end] = getLines(fixture, "request-ended");
  ok(end?.event === "request-ended");
  strictEqual(end.eventVersions, undefined);
});

test("a stream whose upstream dies never goes on at another software version", async () => {
  await using fixture = await createForwardFixture(
    [diesAs("v1"), writesAs("v1.1"), writesAs("v1")],
    {},
    { softwareVersions: ["v1", "v1.1", "v1"] },
  );
  const res = await fixture.call();
  deepStrictEqual(fixture.arrivals, ["up-0", "up-2"]);
  deepStrictEqual(getWriters(res.body), ["v1", "v1", "v1", "v1"]);
  strictEqual(res.isTruncated, false);
});

test("a stream is cut where only another software version could go on", async () => {
  await using fixture = await createForwardFixture(
    [diesAs("v1"), writesAs("v1.1")],
    {},
    { softwareVersions: ["v1", "v1.1"] },
  );
  const res = await fixture.call();
  deepStrictEqual(fixture.arrivals, ["up-0"]);
  deepStrictEqual(getWriters(res.body), ["v1", "v1"]);
  strictEqual(res.isTruncated, true);
});

test("a stream keeps its version when its upstream comes back under its id with another", async () => {
  const comesBack: Behaviour = (socket, request) => {
    diesAs("v1")(socket, request);
    fixture.restartUpstream(0, "v1.1");
  };
  await using fixture = await createForwardFixture(
    [comesBack, writesAs("v1.1"), writesAs("v1")],
    {},
    { softwareVersions: ["v1", "v1.1", "v1"] },
  );
  const res = await fixture.call();
  deepStrictEqual(fixture.arrivals, ["up-0", "up-2"]);
  deepStrictEqual(getWriters(res.body), ["v1", "v1", "v1", "v1"]);
});

test("a stream that has no event yet may go to any software version", async () => {
  const diesAtOnce: Behaviour = (socket) => socket.resetAndDestroy();
  await using fixture = await createForwardFixture(
    [diesAtOnce, writesAs("v1.1")],
    {},
    { softwareVersions: ["v1", "v1.1"] },
  );
  const res = await fixture.call();
  deepStrictEqual(getWriters(res.body), ["v1.1", "v1.1", "v1.1", "v1.1"]);
  strictEqual(res.isTruncated, false);
});
