import { deepStrictEqual } from "node:assert";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import type { CallerResponse } from "../testing/forward_callers.ts";
import { answer } from "../testing/raw_responses.ts";

const plain = { kind: "idempotent", isResumable: false } as const;
const once = { kind: "at-most-once", isResumable: false } as const;
const stream = { kind: "stream", isResumable: false } as const;

/** Time from the last byte to the late end of its connection, in ms. */
const LATE_END_MS = 60;

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";
const HINTS = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";

/** Heads that stop before their end or say less than a whole one. */
const heads: Readonly<Record<string, (id: string) => string>> = {
  "no byte": () => "",
  "half a status line": () => "HTTP/1.1 20",
  "a status line alone": () => STATUS_LINE,
  "a status line and an empty line": () => `${STATUS_LINE}\r\n`,
  "half a name": (id) => `${getSealed(id)}content-le`,
  "half a name and an empty line": (id) => `${getSealed(id)}content-le\r\n\r\n`,
  "half a length": (id) => `${getSealed(id)}content-length: 4`,
  "a length of nothing": (id) => `${getSealed(id)}content-length: 0\r\n`,
  "half an encoding": (id) => `${getSealed(id)}transfer-encoding: chun`,
  "chunks": (id) => `${getSealed(id)}transfer-encoding: chunked\r\n`,
  "all but the last byte": (id) => `${getSealed(id)}content-length: 0\r\n\r`,
  "lines that end with LF": (id) =>
    `${getSealed(id)}content-length: 0\r\n`.replaceAll("\r", ""),
  "an empty line without a seal": (id) => `${STATUS_LINE}x-id: ${id}\r\n\r\n`,
  "half a head behind hints": (id) => `${HINTS}${getSealed(id)}`,
  "half a head without content": (id) =>
    `HTTP/1.1 204 No Content\r\nx-id: ${id}\r\nx-seal: s\r\n`,
  "half of hints": () => HINTS.slice(0, 30),
  "hints alone": () => HINTS,
  "a whole head of chunks": (id) =>
    `${getSealed(id)}transfer-encoding: chunked\r\n\r\n`,
  "chunks without the end of the last": (id) =>
    `${getSealed(id)}transfer-encoding: chunked\r\n\r\n0\r\n`,
  "a whole head with a length": (id) =>
    `${getSealed(id)}content-length: 45\r\n\r\n`,
};

function getSealed(id: string): string {
  return `${STATUS_LINE}x-id: ${id}\r\nx-seal: s\r\n`;
}

/** How an upstream sends a head and closes the connection. */
const endings: Readonly<
  Record<string, (socket: Socket, head: string) => void>
> = {
  "ends at once": (socket, head) => void socket.end(head),
  "ends later": (socket, head) => {
    socket.write(head);
    setTimeout(() => socket.end(), LATE_END_MS);
  },
  "comes byte by byte": (socket, head) => void sendBytes(socket, head),
  "is reset": (socket, head) =>
    void socket.write(head, () => socket.resetAndDestroy()),
};

async function sendBytes(socket: Socket, head: string): Promise<void> {
  socket.setNoDelay(true);
  for (const byte of head) {
    socket.write(byte);
    await sleep(0);
  }
  socket.end();
}

/** Answers the first request whole, and each other one by half a head. */
function createCutter(
  getHead: (id: string) => string,
  end: (socket: Socket, head: string) => void,
): Behaviour {
  return (socket, { id }) => {
    if (id === "first") socket.write(answer(id, "whole"));
    else end(socket, getHead(id));
  };
}

function isWhole({ status, isTruncated }: CallerResponse): boolean {
  return status < 300 && !isTruncated;
}

for (const [head, getHead] of Object.entries(heads)) {
  test(`a response that stops behind ${head} never looks whole`, async () => {
    // Guards against half a head that is passed on as a whole, empty response.
    const seen = await Promise.all(
      Object.entries(endings).map(async ([ending, end]) => {
        const cutter = createCutter(getHead, end);
        await using alone = await createForwardFixture([cutter], once);
        await using events = await createForwardFixture([cutter], stream);
        await using other = await createForwardFixture(
          [cutter, (socket, { id }) => void socket.write(answer(id, "sound"))],
          plain,
        );
        const fresh = await alone.call({ id: "fresh" });
        await alone.call({ id: "first" });
        const kept = await alone.call({ id: "kept" });
        const streamed = await events.call({ id: "streamed" });
        const again = await other.call({ id: "again" });
        return [
          ending,
          isWhole(fresh),
          isWhole(kept),
          isWhole(streamed),
          again.body,
        ];
      }),
    );
    deepStrictEqual(
      seen,
      Object.keys(endings).map((each) => [each, false, false, false, "sound"]),
    );
  });
}

test("half a head behind a whole response is no part of the next one", async () => {
  // Guards against a head that is put together from two responses.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    if (id === "first") socket.write(answer(id, "whole") + getSealed("next"));
    else socket.end("content-length: 0\r\n\r\n");
  }], once);
  const first = await fixture.call({ id: "first" });
  deepStrictEqual([first.body, isWhole(first)], ["whole", true]);
  deepStrictEqual(isWhole(await fixture.call({ id: "next" })), false);
});
