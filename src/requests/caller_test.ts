import { equal } from "node:assert";
import { Socket } from "node:net";
import { test } from "node:test";
import { runAfterPendingReads } from "../core/mod.ts";
import { createPipelinedResponses } from "../testing/pipelined_responses.ts";
import { onCallerDisconnected } from "./caller.ts";

const PIPELINED_REQUESTS = 20;

/** Ends the input of the connection, and waits until that has been read. */
async function endInput(socket: Socket): Promise<void> {
  socket.push(null);
  socket.resume();
  await new Promise<void>((resolve) => runAfterPendingReads(resolve));
}

/** How many listeners the connection has for its end and for its close. */
function countListeners(socket: Socket): string {
  return ["end", "close"].map((event) => socket.listenerCount(event)).join();
}

test("pipelined requests on one connection don't each add a listener, and leave none", () => {
  const socket = new Socket();
  const ends = socket.listenerCount("end");
  const closes = socket.listenerCount("close");
  const [none, one] = [`${ends},${closes}`, `${ends + 1},${closes + 1}`];
  const watches = createPipelinedResponses(socket, PIPELINED_REQUESTS).map((
    res,
  ) => onCallerDisconnected(res, () => {}));
  equal(countListeners(socket), one);
  for (const watch of watches) watch[Symbol.dispose]();
  equal(countListeners(socket), none);
  // Disposing twice must not take away the watch of a later request.
  const [res] = createPipelinedResponses(socket, 1);
  const later = onCallerDisconnected(res!, () => {});
  watches[0]![Symbol.dispose]();
  equal(countListeners(socket), one);
  later[Symbol.dispose]();
  equal(countListeners(socket), none);
});

test("each pipelined request learns once that its caller has disconnected", async () => {
  const socket = new Socket();
  const responses = createPipelinedResponses(socket, PIPELINED_REQUESTS);
  const calls = responses.map(() => 0);
  const watches = responses.map((res, i) =>
    onCallerDisconnected(res, () => {
      calls[i]!++;
      // The request after this one ends with it.
      if (i === 2) watches[3]![Symbol.dispose]();
    })
  );
  watches[1]![Symbol.dispose]();
  await endInput(socket);
  equal(socket.listenerCount("end"), new Socket().listenerCount("end"));
  const expected = responses.map((_, i) => i === 1 || i === 3 ? 0 : 1);
  equal(calls.join(), expected.join());
});

test("each pipelined request learns that its caller's connection was reset", async () => {
  const socket = new Socket();
  const responses = createPipelinedResponses(socket, 3);
  responses[0]!.assignSocket(socket);
  let calls = 0;
  for (const res of responses) onCallerDisconnected(res, () => calls++);
  socket.destroy();
  await new Promise<void>((resolve) => runAfterPendingReads(resolve));
  equal(calls, 3);
});

test("a watch that starts after the disconnect calls back, but not before it returns", async () => {
  const socket = new Socket();
  const [res] = createPipelinedResponses(socket, 1);
  await endInput(socket);
  let calls = 0;
  onCallerDisconnected(res!, () => calls++);
  equal(calls, 0);
  await Promise.resolve();
  equal(calls, 1);
});
