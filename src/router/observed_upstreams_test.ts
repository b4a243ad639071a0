import { deepStrictEqual } from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import type { EventStream, UpstreamClient } from "../upstreams/mod.ts";
import { createObservedUpstreams } from "./observed_upstreams.ts";

const FAR = "10.1.0.1:80";
const NEAR = "10.0.0.1:80";

function createStream(): EventStream {
  const events = ["ä", "bc"].map((data, offset) => ({
    name: "token",
    offset,
    data,
  }));
  return { next: Effect.sync(() => events.shift()), close() {} };
}

function createFixture() {
  const client: UpstreamClient = {
    generate: () => Effect.succeed(createStream()),
    resume: () => Effect.succeed(createStream()),
    cancelIfUnread: () => Effect.succeed({ kind: "being-read" }),
    call: () => Effect.succeed({ status: 200, body: "done" }),
  };
  const bytes = { "to-upstream": 0, "from-upstream": 0 };
  const observed = createObservedUpstreams(client, {
    crossesRegion: (address) => address === FAR,
    onRegionalBytes: (direction, count) => bytes[direction] += count,
  });
  return { observed, bytes };
}

async function readAll(stream: EventStream): Promise<void> {
  while (await Effect.runPromise(stream.next) !== undefined);
}

test("what crosses the regions is counted in bytes, both ways", async () => {
  const { observed, bytes } = createFixture();
  const common = { stream: "s", body: "xyz", remainingMs: 1 };
  const call = {
    operation: "o",
    request: "r",
    idempotencyKey: "",
    body: "12345",
    timeoutMs: 1,
  };
  for (const address of [NEAR, FAR]) {
    const generated = observed.generate({ ...common, address });
    await readAll(await Effect.runPromise(generated));
    const resumed = observed.resume({ address, stream: "s" }, 1);
    await readAll(await Effect.runPromise(resumed));
    await Effect.runPromise(observed.call({ ...call, address }));
  }
  deepStrictEqual(bytes, { "to-upstream": 3 + 5, "from-upstream": 4 + 4 + 4 });
});
