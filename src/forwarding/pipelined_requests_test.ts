import { deepStrictEqual } from "node:assert";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { test } from "node:test";
import { createPipelinedRequests } from "./pipelined_requests.ts";

function createFixture(maxWaiting: number) {
  const dropped: number[] = [];
  let pauses = 0;
  const pipelined = createPipelinedRequests({
    maxWaiting,
    pauseReading: () => void pauses++,
    onDropped: (requests) => void dropped.push(requests),
  });
  /** A connection whose close is seen later than it is destroyed. */
  function createConnection() {
    const socket = Object.assign(new EventEmitter(), {
      destroyed: false,
      destroy: () => void (socket.destroyed = true),
    });
    return {
      socket,
      /** Receives requests; returns how many of them may run. */
      send(count: number): number {
        let accepted = 0;
        for (let at = 0; at < count; at++) {
          const req = { socket } as unknown as IncomingMessage;
          const res = Object.assign(new EventEmitter(), {
            req,
            writableFinished: false,
          }) as unknown as ServerResponse;
          if (pipelined.accept(req, res)) accepted++;
        }
        return accepted;
      },
    };
  }
  return { createConnection, dropped, countPauses: () => pauses };
}

test("without room the connection of the next request behind another is closed, no other", () => {
  // Guards against a host that ends since requests wait that nobody counts.
  const { createConnection, dropped, countPauses } = createFixture(10);
  const [first, second, third] = [1, 2, 3].map(createConnection);
  deepStrictEqual([first!.send(6), second!.send(6)], [6, 6]);
  deepStrictEqual([third!.send(10), dropped, countPauses()], [1, [0], 0]);
  deepStrictEqual(
    [first, second, third].map((each) => each!.socket.destroyed),
    [false, false, true],
  );
  // Nothing is read until as many as there is room for are freed.
  deepStrictEqual([third!.send(1), countPauses()], [0, 1]);
});

test("a connection that takes most of the room is closed, and counts until it is freed", () => {
  // Guards against one caller that leaves no room to any other.
  const { createConnection, dropped } = createFixture(10);
  const [large, next, other, last] = [1, 2, 3, 4].map(createConnection);
  deepStrictEqual([large!.send(11), next!.send(2)], [11, 1]);
  deepStrictEqual([large!.send(1), other!.send(2), dropped], [0, 1, [
    0,
    10,
    0,
  ]]);
  large!.socket.emit("close");
  deepStrictEqual(last!.send(11), 11);
});
