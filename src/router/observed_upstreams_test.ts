import { deepStrictEqual } from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import type { EventStream, UpstreamClient } from "../upstreams/mod.ts";
import { createObservedUpstreams } from "./observed_upstreams.ts";

const OTHER_REGION_ADDRESS = "10.1.0.1:80";
const SAME_REGION_ADDRESS = "10.0.0.1:80";

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
    crossesRegion: (address) => address === OTHER_REGION_ADDRESS,
    onRegionalBytes: (direction, count) => bytes[direction] += count,
  });
  return { observed, bytes };
}

async function readAll(stream: EventStream): Promise<void> {
  while (await Effect.runPromise(stream.next) !== undefined);
}

test("cross-region payload is counted in bytes in both directions", async () => {
  const { observed, bytes } = createFixture();
  const common = { stream: "s", body: "xyz", remainingMs: 1 };
  const call = {
    operation: "o",
    request: "r",
    idempotencyKey: "",
    body: "12345",
    timeoutMs: 1,
  };
  for (const address of [SAME_REGION_ADDRESS, OTHER_REGION_ADDRESS]) {
    const generated = observed.generate({ ...common, address });
    await readAll(await Effect.runPromise(generated));
    const resumed = observed.resume({ address, stream: "s" }, 1);
    await readAll(await Effect.runPromise(resumed));
    await Effect.runPromise(observed.call({ ...call, address }));
  }
  deepStrictEqual(bytes, { "to-upstream": 3 + 5, "from-upstream": 4 + 4 + 4 });
});
