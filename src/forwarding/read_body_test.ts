import { deepStrictEqual, strictEqual } from "node:assert";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { listen } from "../entry/servers.ts";
import { chunk } from "../testing/raw_responses.ts";
import { connectionEnds } from "../testing/raw_server.ts";
import { createHeldMemory } from "./held_memory.ts";
import { readBody } from "./read_body.ts";

const MAX_BODY_BYTES = 1_000;

type ReadResult =
  | { readonly kind: "read"; readonly body: string }
  | { readonly kind: "failed"; readonly by: string };

/** Sends what a caller sends; returns how the host's read of the body ends. */
async function readFromCaller(
  request: string,
  end: (socket: Socket) => void,
): Promise<ReadResult> {
  const { promise, resolve } = createDeferred<ReadResult>();
  await using host = await listen("127.0.0.1:0", (req, res) => {
    const read = readBody({ req, res }, {
      maxBytes: MAX_BODY_BYTES,
      memory: createHeldMemory(MAX_BODY_BYTES),
    }).pipe(
      Effect.match({
        onSuccess: ({ bytes }) =>
          resolve({ kind: "read", body: bytes.toString() }),
        onFailure: (err) => resolve({ kind: "failed", by: err._tag }),
      }),
    );
    Effect.runFork(read);
  });
  const { port } = host.server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  caller.on("error", () => {});
  caller.write(request, () => end(caller));
  const result = await promise;
  caller.destroy();
  return result;
}

function createDeferred<T>() {
  let resolve: (value: T) => void = () => {};
  const promise = new Promise<T>((settle) => resolve = settle);
  return { promise, resolve };
}

const POST = "POST / HTTP/1.1\r\nhost: model.example\r\n";

const cutRequests = [
  `${POST}content-length: 9\r\n\r\na boo`,
  `${POST}transfer-encoding: chunked\r\n\r\n${chunk("a boo")}`,
  `${POST}transfer-encoding: chunked\r\n\r\n${chunk("a booking")}0\r\n`,
];

test("a body that its caller cuts is never read as a whole one", async () => {
  for (const request of cutRequests) {
    for (const end of connectionEnds) {
      const result = await readFromCaller(request, end);
      deepStrictEqual(result, { kind: "failed", by: "CallerLost" }, request);
    }
  }
});

test("a body in chunks is read to its last chunk", async () => {
  const request = `${POST}transfer-encoding: chunked\r\n\r\n` +
    chunk("a boo") + chunk("king") + chunk("");
  const result = await readFromCaller(request, () => {});
  strictEqual(result.kind === "read" && result.body, "a booking");
});
