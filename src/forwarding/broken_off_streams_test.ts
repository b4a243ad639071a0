import { deepStrictEqual, ok } from "node:assert";
import { describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";
import { unframedHead } from "../testing/raw_responses.ts";
import { createEventTexts } from "../testing/stream_events.ts";

/** Time in which an upstream whose answer broke off is asked, in ms. */
const ASK_MS = 300;

/** Writes the text behind a head without a length, and ends in order. */
function endBehind(text: string, staysUp: boolean): Behaviour {
  return (socket, { id, stopListening }) => {
    if (!staysUp) stopListening();
    socket.end(unframedHead(id) + text);
  };
}

async function play(behaviour: Behaviour): Promise<ForwardFixture> {
  const fixture = await createForwardFixture([behaviour], {
    kind: "stream",
    isResumable: false,
  });
  await fixture.call();
  await sleep(ASK_MS);
  return fixture;
}

function findSuspected({ log }: ForwardFixture): readonly string[] {
  return log.map((each) => each.event)
    .filter((event) => event.endsWith("-suspected"));
}

function getKind({ log }: ForwardFixture): string | undefined {
  const failed = log.find((each) => each.event === "attempt-failed");
  return failed?.event === "attempt-failed" ? failed.kind : undefined;
}

describe("a stream without a length", { concurrency: true }, () => {
  const INSIDE = `${createEventTexts(1)}id: 2\nda`;

  test("one that ends inside an event as its upstream goes down counts as its crash", async () => {
    // Guards against crashes that go uncounted since their connections end in
    // order.
    await using fixture = await play(endBehind(INSIDE, false));
    deepStrictEqual(getKind(fixture), "cut-off");
    deepStrictEqual(findSuspected(fixture), [
      "content-suspected",
      "part-suspected",
    ]);
  });

  test("one that ends behind an event as its upstream goes down counts against its parts", async () => {
    // Guards against the same between two events, or before the first.
    for (const text of [createEventTexts(1), ""]) {
      await using fixture = await play(endBehind(text, false));
      deepStrictEqual(getKind(fixture), "broken");
      deepStrictEqual(findSuspected(fixture), ["part-suspected"]);
    }
  });

  test("one that ends inside an event at an upstream that lives counts as no crash", async () => {
    // Guards against blaming content for an answer that was lost on its way.
    await using fixture = await play(endBehind(INSIDE, true));
    deepStrictEqual(getKind(fixture), "cut-off");
    deepStrictEqual(findSuspected(fixture), []);
    ok(fixture.log.some((each) => each.event === "request-ended"));
  });
});
