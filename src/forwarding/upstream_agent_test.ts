import { strictEqual } from "node:assert";
import { get, type IncomingMessage } from "node:http";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { listenRaw } from "../testing/raw_server.ts";
import { createUpstreamAgent } from "./upstream_agent.ts";

for (const digits of [1, 12, 400]) {
  test(`a connection whose idle time is stated in ${digits} digits is kept`, async () => {
    // Guards against a process that ends as it sets a timer.
    const timeout = "9".repeat(digits);
    await using server = await listenRaw((socket) =>
      socket.write(
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n" +
          `Keep-Alive: timeout=${timeout}\r\nContent-Length: 2\r\n\r\nok`,
      )
    );
    const [host, port] = server.address.split(":");
    const agent = createUpstreamAgent();
    const res = await new Promise<IncomingMessage>((resolve) =>
      get({ agent, host, port }, resolve)
    );
    await new Promise((resolve) => res.resume().on("close", resolve));
    await sleep(10);
    strictEqual(Object.values(agent.freeSockets).flat().length, 1);
    agent.destroy();
  });
}
