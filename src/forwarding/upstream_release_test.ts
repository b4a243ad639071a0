import { ok } from "node:assert";
import { once } from "node:events";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { chunk, streamHead } from "../testing/raw_responses.ts";

/**
 * Longest time, in ms, in which a connection that serves no request is closed:
 * well over the idle time of the agent.
 */
const MAX_RELEASE_MS = 10_000;

const PIECES = 30;
const PIECE = "y".repeat(900);

/** More than the host buffers of a response that nobody reads. */
const longStream = Array.from(
  { length: PIECES },
  (_, id) => chunk(`id: ${id}\ndata: ${PIECE}\n\n`),
).join("") + chunk("");

test("an upstream's connection is given back if the caller leaves before the complete response is read", async () => {
  const closed: Promise<unknown>[] = [];
  const behaviour: Behaviour = (socket: Socket, { id }) => {
    if (id === "first") {
      socket.write(streamHead(id) + chunk("id: 0\ndata: x\n\n"));
      return;
    }
    closed.push(once(socket, "close"));
    socket.write(streamHead(id) + longStream);
  };
  await using fixture = await createForwardFixture([behaviour], {
    kind: "stream",
    isResumable: false,
    timeoutMs: 60_000,
  });
  const caller = fixture.sendRaw("first");
  // Pipelined behind a stream that lasts, so that the host stops reading it.
  caller.write(
    "POST /drafts/1 HTTP/1.1\r\nhost: model.example\r\n" +
      "x-id: second\r\nx-key: key-of-fitters\r\ncontent-length: 2\r\n\r\n{}",
  );
  await sleep(400);
  caller.destroy();
  const isReleased = await Promise.race([
    Promise.all(closed).then(() => true),
    sleep(MAX_RELEASE_MS, false, { ref: false }),
  ]);
  ok(closed.length === 1 && isReleased);
});
