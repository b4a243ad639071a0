import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createCrashFact } from "../crashes/mod.ts";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import { streamHead } from "../testing/raw_responses.ts";
import {
  createEvent,
  createEventTexts,
  STREAM_END,
} from "../testing/stream_events.ts";

const stream = { kind: "stream", isResumable: false } as const;

/** Longer than a part must have been suspect before it is held against prompts. */
const SETTLED_MS = 1_800;

/** Time between two events of a stream, in ms. */
const EVENT_GAP_MS = 50;

/** The part of the prompts of the test codec that others share. */
const PART = "part-shared";

const serves: Behaviour = (socket, { id }) =>
  socket.write(streamHead(id) + createEvent(1) + STREAM_END);

/** Tells the host that five upstreams have ended under the part. */
function suspect({ crashes }: ForwardFixture, subject = PART): void {
  for (let at = 0; at < 5; at++) {
    crashes.receiveFact(createCrashFact({
      subject,
      process: `1/u-${at}`,
      atMs: Date.now() - (5 - at) * 1_000,
      state: "counted",
    }));
  }
}

/** Sends so many events, and then resets the connection. */
function breakOffBehind(events: number): Behaviour {
  return async (socket, { id, stopListening }) => {
    socket.write(streamHead(id));
    for (let event = 1; event <= events; event++) {
      socket.write(createEvent(event));
      await sleep(EVENT_GAP_MS);
    }
    stopListening();
    socket.resetAndDestroy();
  };
}

function getEvents({ log }: ForwardFixture): readonly string[] {
  return log.map((each) => each.event)
    .filter((event) => /^(part|content)-/.test(event));
}

describe("parts of prompts", { concurrency: true }, () => {
  test("a prompt with a blocked part is rejected before its body is read", async () => {
    // Guards against a place in the queue for what is known to be unservable.
    await using fixture = await createForwardFixture([serves], stream);
    suspect(fixture);
    await sleep(SETTLED_MS);
    const { status, headers, body } = await fixture.call();
    strictEqual(status, 502);
    strictEqual(headers["retry-after"], undefined);
    ok(body.includes(PART), body);
    deepStrictEqual(fixture.arrivals, []);
  });

  test("an answer that goes on clears the parts of its prompt before it ends", async () => {
    // Guards against parts that are cleared by whole answers alone, which a bad
    // part leaves to nobody.
    await using fixture = await createForwardFixture(
      [breakOffBehind(12)],
      stream,
    );
    suspect(fixture);
    await fixture.call();
    await sleep(SETTLED_MS);
    ok(getEvents(fixture).includes("part-cleared"));
    strictEqual(fixture.crashes.isBlocked("own", [PART]), false);
  });

  test("an answer that broke off long after its first event counts against no part", async () => {
    // Guards against blaming what had been written for a while.
    await using fixture = await createForwardFixture(
      [breakOffBehind(12)],
      stream,
    );
    await fixture.call();
    await sleep(SETTLED_MS);
    deepStrictEqual(getEvents(fixture), ["content-suspected"]);
  });

  test("an answer that broke off at its beginning counts against the shared parts", async () => {
    for (const events of [0, 1]) {
      await using fixture = await createForwardFixture(
        [breakOffBehind(events)],
        stream,
      );
      await fixture.call();
      await sleep(SETTLED_MS);
      deepStrictEqual(getEvents(fixture), [
        "content-suspected",
        "part-suspected",
      ]);
    }
  });

  test("events that this host read late clear no part", async () => {
    // Guards against a crash whose last event waited in the socket of a busy host.
    await using fixture = await createForwardFixture(
      [breakOffBehind(9)],
      stream,
    );
    fixture.controls.unreadMs = 2_000;
    suspect(fixture);
    await fixture.call();
    ok(!getEvents(fixture).includes("part-cleared"));
  });

  test("a whole answer clears the parts of its prompt however short it is", async () => {
    await using fixture = await createForwardFixture([serves], stream);
    suspect(fixture);
    strictEqual((await fixture.call()).body, createEventTexts(1));
    strictEqual(fixture.crashes.isBlocked("own", [PART]), false);
  });
});
