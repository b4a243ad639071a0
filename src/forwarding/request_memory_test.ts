import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { answer } from "../testing/raw_responses.ts";
import { createHeldMemory, type HeldMemory } from "./held_memory.ts";
import { holdRequestBody, MAX_SMALL_BODY_BYTES } from "./request_memory.ts";

const once = { kind: "at-most-once", isResumable: false } as const;

const LARGE_BYTES = 4 * MAX_SMALL_BODY_BYTES;

function addBody(memory: HeldMemory) {
  let isDropped = false;
  const held = holdRequestBody(memory, () => isDropped = true);
  return { ...held, isDropped: () => isDropped };
}

test("the largest body that is being read is dropped, and no small one", () => {
  // Guards against small requests that are rejected because of large ones.
  const memory = createHeldMemory(LARGE_BYTES);
  const bodies = [1, 2, 3].map(() => addBody(memory));
  const [small, large, last] = bodies;
  small!.onRead(MAX_SMALL_BODY_BYTES);
  large!.onRead(LARGE_BYTES - MAX_SMALL_BODY_BYTES);
  last!.onRead(1);
  deepStrictEqual(bodies.map((each) => each.isDropped()), [false, true, false]);
});

test("a body counts until its request has ended, and is not dropped once it is read", () => {
  // Guards against a request that runs and loses its body, and against a bound
  // that forgets the bodies of running requests.
  const memory = createHeldMemory(LARGE_BYTES);
  const running = addBody(memory);
  running.onRead(LARGE_BYTES);
  running.onComplete();
  const next = addBody(memory);
  next.onRead(MAX_SMALL_BODY_BYTES + 1);
  deepStrictEqual([running.isDropped(), next.isDropped()], [false, true]);
  running[Symbol.dispose]();
  const later = addBody(memory);
  later.onRead(LARGE_BYTES);
  strictEqual(later.isDropped(), false);
});

test("a small body is dropped once small ones take twice the room", () => {
  // Guards against a process that exceeds its memory under many small bodies.
  const memory = createHeldMemory(LARGE_BYTES);
  const add = () => {
    const body = addBody(memory);
    body.onRead(MAX_SMALL_BODY_BYTES);
    body.onComplete();
    return body.isDropped();
  };
  const dropped = Array.from({ length: 9 }, add);
  deepStrictEqual(dropped, [...Array.from({ length: 8 }, () => false), true]);
});

test("a request for whose body there is no room is rejected as not run, beside others that are served", async () => {
  // Guards against a process that exceeds the memory of its host.
  const answers: Behaviour = (socket, { id }) =>
    socket.write(answer(id, "done"));
  await using fixture = await createForwardFixture([answers], once, {
    requestMemoryBytes: MAX_SMALL_BODY_BYTES,
  });
  const sizes = [100, MAX_SMALL_BODY_BYTES + 1, 100];
  const statuses: number[] = [];
  for (const size of sizes) {
    const res = await fixture.call({ body: "x".repeat(size) });
    statuses.push(res.status);
  }
  deepStrictEqual(statuses, [200, 503, 200]);
  strictEqual(fixture.arrivals.length, 2);
  const [, refused] = fixture.log.filter((each) =>
    each.event === "request-ended"
  );
  ok(refused?.event === "request-ended" && refused.outcome === "not-run");
  ok(refused.retryAfterMs !== undefined);
});
