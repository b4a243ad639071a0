import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createForwardFixture } from "../testing/forward_fixture.ts";
import { answer, chunk, streamHead } from "../testing/raw_responses.ts";

const resumable = { kind: "stream", isResumable: true } as const;

const EVENT = "id: 1\ndata: a\n\n";

/** Time from a head to its first event, so that they are read apart, in ms. */
const EVENT_DELAY_MS = 30;

/** Heads that Node's client accepts and its server can't write. */
const heads: Readonly<Record<string, (id: string) => string>> = {
  "a name that ends with a space": (id) => addLine(id, "x-odd : a"),
  "a name with a space inside": (id) => addLine(id, "x odd: a"),
  "no name": (id) => addLine(id, ": a"),
  "a status below all others": (id) => streamHead(id).replace("200", "099"),
};

test("a response that can have no content is passed on without a length", async () => {
  // Guards against a caller that waits for content, or takes the next response for it.
  const statuses = ["204 No Content", "304 Not Modified"];
  for (const status of statuses) {
    await using fixture = await createForwardFixture([
      (socket, { id }) => void socket.write(answer(id, "sick", status)),
    ], { kind: "at-most-once", isResumable: false });
    const res = await fixture.call();
    deepStrictEqual(
      [`${res.status}`, res.headers["content-length"]],
      [status.slice(0, 3), undefined],
    );
  }
});

test("a body in a transfer coding that is not undone is not passed on", async () => {
  // Guards against coded bytes that a caller takes for the upstream's body.
  const codings = ["gzip", "gzip, chunked"];
  for (const coding of codings) {
    await using fixture = await createForwardFixture([
      (socket, { id }) =>
        void socket.end(
          streamHead(id).replace("chunked", coding) + chunk("sick") +
            "0\r\n\r\n",
        ),
    ], { kind: "at-most-once", isResumable: false });
    deepStrictEqual((await fixture.call()).status, 502, coding);
  }
});

function addLine(id: string, line: string): string {
  return streamHead(id).replace("\r\n\r\n", `\r\n${line}\r\n\r\n`);
}

for (const [what, createHead] of Object.entries(heads)) {
  test(`a stream whose head has ${what} ends no process and goes on elsewhere`, async () => {
    // Guards against an exception in the listener of an upstream's body.
    await using fixture = await createForwardFixture([
      async (socket, { id }) => {
        socket.write(createHead(id));
        await sleep(EVENT_DELAY_MS);
        if (!socket.destroyed) socket.write(chunk(EVENT) + "0\r\n\r\n");
      },
      (socket, { id }) =>
        socket.write(streamHead(id) + chunk(EVENT) + "0\r\n\r\n"),
    ], resumable);
    const res = await fixture.call();
    deepStrictEqual([res.status, res.body, res.isTruncated], [
      200,
      EVENT,
      false,
    ]);
  });
}
