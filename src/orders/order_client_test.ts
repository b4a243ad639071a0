import { strictEqual } from "node:assert";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { listenRaw, SWITCHING_RESPONSE } from "../testing/raw_server.ts";
import { sendOrder } from "./order_client.ts";

test("an order whose response switches protocols is unanswered, at once", async () => {
  // Guards against orders that wait for an answer that can't come.
  await using upstream = await listenRaw((socket) =>
    void socket.write(SWITCHING_RESPONSE)
  );
  const order = { kind: "role", role: "both" } as const;
  const result = await Effect.runPromise(
    sendOrder(
      {
        id: "engine-1",
        service: "drafting",
        dataCentre: "north",
        address: upstream.address,
        maxSlots: 4,
        fencing: "checks",
      },
      { order, token: 1, isLeaseValid: () => true },
    ),
  );
  strictEqual(result, "unanswered");
});
