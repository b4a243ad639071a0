import { deepStrictEqual, match } from "node:assert";
import { once } from "node:events";
import { createServer, get, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { createBodyTrace } from "./body_trace.ts";
import { receiveBody } from "./response_body.ts";
import type { UpstreamResponse } from "./upstream_call.ts";

test("a piece of a body that can't be handled ends its attempt, not the process", async (t) => {
  // Guards against any exception in the listener of an upstream's body.
  const server = createServer((_, res) => res.end("piece"));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const [res] = await once(get({ port, host: "127.0.0.1" }), "response") as [
    IncomingMessage,
  ];
  let aborts = 0;
  const response: UpstreamResponse = {
    res,
    trace: createBodyTrace(res, "GET"),
    isFirstOnConnection: true,
    abort: () => aborts++,
    onRead: () => {},
    bodyEnd: Effect.succeed({ kind: "framed", isReceived: true }),
    tryGetBreach: () => undefined,
  };
  const result = await new Promise<Effect.Effect<void, unknown>>((onEnd) =>
    receiveBody(response, {
      onChunk() {
        throw new RangeError("odd piece");
      },
      onEnd,
    })
  );
  match(String(await Effect.runPromiseExit(result)), /odd piece/);
  deepStrictEqual(aborts, 1);
});
