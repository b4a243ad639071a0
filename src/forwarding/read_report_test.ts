import { deepStrictEqual } from "node:assert";
import { Agent } from "node:http";
import { test } from "node:test";
import { createTestCodec } from "../testing/call_codec.ts";
import { listenRaw, SWITCHING_RESPONSE } from "../testing/raw_server.ts";
import { readReport } from "./read_report.ts";

test("a report that switches protocols is unknown at once", async () => {
  // Guards against a request that waits for a report that can't come.
  await using upstream = await listenRaw((socket) =>
    void socket.write(SWITCHING_RESPONSE)
  );
  const agent = new Agent();
  const { report } = await readReport(
    { agent, codec: createTestCodec() },
    upstream.address,
  );
  agent.destroy();
  deepStrictEqual(report, {
    kind: "unknown",
    reason: "Status 101 switches protocols, which was not asked for",
  });
});
