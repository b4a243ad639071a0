import { deepStrictEqual, rejects } from "node:assert";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { startListening } from "./listen.ts";

test("errors of a listening server are passed on and do not end the process", async () => {
  // Guards against a lack of file descriptors that ends all running requests.
  const errors: string[] = [];
  const onError = (reason: string) => void errors.push(reason);
  const server = createServer();
  await startListening(server, { address: "127.0.0.1:0", onError });
  for (const name of ["first", "second"]) server.emit("error", Error(name));
  deepStrictEqual(errors, ["Error: first", "Error: second"]);
  const { port } = server.address() as AddressInfo;
  const other = createServer();
  await rejects(
    startListening(other, { address: `127.0.0.1:${port}`, onError }),
    /EADDRINUSE/,
  );
  deepStrictEqual(errors.length, 2);
  server.close();
  await once(server, "close");
});
