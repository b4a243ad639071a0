import { match, rejects } from "node:assert";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import process from "node:process";
import { test } from "node:test";
import { warnOfGrpcMessages } from "./grpc_warnings.ts";
import { listenForPeers } from "./peer_server.ts";

test("a message of the gRPC library is a warning and no text on standard error", async () => {
  // Guards against lines in the log that name no host and no time.
  const taken = createServer().listen(0, "127.0.0.1");
  await once(taken, "listening");
  const { port } = taken.address() as AddressInfo;
  warnOfGrpcMessages();
  const warned = once(process, "warning");
  await rejects(listenForPeers(`127.0.0.1:${port}`, {
    fleetToken: "token",
    onFrame: () => {},
    tryGetConfiguration: () => undefined,
    countHosts: () => 1,
  }));
  const [{ message }] = await warned as [Error];
  match(message, /No address added/);
  taken.close();
});
