import { strictEqual } from "node:assert";
import { Buffer } from "node:buffer";
import { request } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { getDigest } from "../core/mod.ts";
import { listenForCallers, type PublicServerHost } from "./public_server.ts";

const OPERATOR_KEY = "key-of-ade";

test("an operator's text arrives unchanged wherever its bytes are split", async () => {
  const text = '{"team":"Ọ̀yọ́"}';
  let received = "";
  const settings: Partial<PublicServerHost["settings"]> = {
    publicAddress: "127.0.0.1:0",
    operators: [{ name: "ade", keyDigest: getDigest(OPERATOR_KEY) }],
  };
  const host: Partial<PublicServerHost> = {
    settings: settings as PublicServerHost["settings"],
    getDeployment: () => undefined,
    operatorHandlers: {
      "POST /ops/apply": ({ body }) => {
        received = body;
        return Promise.resolve({ status: 200, value: {} });
      },
    },
  };
  await using server = await listenForCallers(host as PublicServerHost);
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve, reject) => {
    const req = request({
      agent: false,
      host: "127.0.0.1",
      port,
      method: "POST",
      path: "/ops/apply",
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    req.on("error", reject);
    req.on("response", (res) => res.resume().on("close", resolve));
    // Each write becomes a chunk of its own.
    for (const byte of Buffer.from(text)) req.write(Buffer.from([byte]));
    req.end();
  });
  strictEqual(received, text);
});
