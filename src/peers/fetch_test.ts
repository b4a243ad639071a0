import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { Client, credentials, Metadata } from "@grpc/grpc-js";
import { type FetchReply, FetchRequestSchema } from "../generated/peer_pb.ts";
import { tryFetchConfiguration } from "./fetch.ts";
import { FLEET_TOKEN_KEY } from "./peer_link.ts";
import { listenForPeers, type PeerServer } from "./peer_server.ts";
import { peerService } from "./peer_service.ts";

const FLEET_TOKEN = "token-of-this-fleet";

function getAddress(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function findFreeAddress(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = getAddress(server);
  server.close();
  await once(server, "close");
  return address;
}

function servePeer(address: string, contentBytes = 0): Promise<PeerServer> {
  const noise = createNoise(contentBytes);
  return serveContent(address, (digest) => {
    const start = `copy of ${digest}`;
    const bytes = Math.max(start.length, contentBytes);
    return Buffer.from(start + noise).subarray(0, bytes);
  });
}

function serveContent(
  address: string,
  tryGetConfiguration: (digest: string) => Uint8Array,
): Promise<PeerServer> {
  return listenForPeers(address, {
    fleetToken: FLEET_TOKEN,
    onFrame: () => {},
    tryGetConfiguration,
    countHosts: () => 2,
  });
}

/** Text of at least that many bytes that hardly shrinks when compressed. */
function createNoise(bytes: number): string {
  const parts: string[] = [];
  for (let size = 0; size < bytes; size += 88) {
    parts.push(createHash("sha512").update(`${size}`).digest("base64"));
  }
  return parts.join("");
}

/** Where and how a proxy ends the connection of a fetch. */
interface Cut {
  readonly maxBytes: number;
  end(socket: Socket): void;
}

/** A proxy in front of a peer that can drop its open connections silently. */
async function openProxy(peerAddress: string, cut?: Cut) {
  const [host, port] = peerAddress.split(":");
  const sockets: Socket[] = [];
  const server = createServer((caller) => {
    const peer = connect(Number(port), host);
    caller.pipe(peer);
    if (cut === undefined) peer.pipe(caller);
    else relayUntilCut(peer, caller, cut);
    sockets.push(caller, peer);
    for (const socket of [caller, peer]) socket.on("error", () => {});
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    address: getAddress(server),
    /**
     * Drops all data on the connections that are open now, without closing
     * them.
     */
    dropConnections() {
      for (const socket of sockets) socket.unpipe();
    },
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      server.close();
      await once(server, "close");
    },
  };
}

function relayUntilCut(peer: Socket, caller: Socket, cut: Cut): void {
  let size = 0;
  peer.on("data", (bytes) => {
    if (size >= cut.maxBytes) return;
    size += bytes.length;
    const excess = Math.max(0, size - cut.maxBytes);
    caller.write(bytes.subarray(0, bytes.length - excess));
    if (size >= cut.maxBytes) cut.end(caller);
  });
}

async function fetchText(address: string): Promise<string | undefined> {
  const options = { digest: "config", fleetToken: FLEET_TOKEN };
  const fetched = await tryFetchConfiguration(address, options);
  return fetched && Buffer.from(fetched.content).toString();
}

test("a fetch works after the network has silently dropped open connections", async () => {
  // A host fetches a configuration. The network then silently drops the
  // connection: it sends no reset, and only new connections work. When
  // operators change a route seconds later, the host must fetch again. If it
  // reused the old connection, its callers would be refused until that
  // connection times out.
  const address = await findFreeAddress();
  await using _peer = await servePeer(address);
  await using proxy = await openProxy(address);
  const before = await fetchText(proxy.address);
  proxy.dropConnections();
  const after = await fetchText(proxy.address);
  deepStrictEqual([before, after], ["copy of config", "copy of config"]);
});

test("a fetch works as soon as a restarted peer is available", async () => {
  // A fetch fails while the peer restarts. The next fetch must try the peer
  // again instead of remembering that it was unavailable.
  const address = await findFreeAddress();
  const before = await fetchText(address);
  await using _peer = await servePeer(address);
  const after = await fetchText(address);
  deepStrictEqual([before, after], [undefined, "copy of config"]);
});

test("content whose connection ends within it is not taken for the whole", async () => {
  const ends = [
    (socket: Socket) => socket.end(),
    (socket: Socket) => socket.resetAndDestroy(),
  ];
  const address = await findFreeAddress();
  const contentBytes = 50_000;
  await using _peer = await servePeer(address, contentBytes);
  strictEqual((await fetchText(address))?.length, contentBytes);
  for (const end of ends) {
    await using proxy = await openProxy(address, {
      maxBytes: contentBytes / 2,
      end,
    });
    strictEqual(await fetchText(proxy.address), undefined);
  }
});

test("a large table is fetched whole", async () => {
  // Guards against a table that no host but its readers can follow.
  const address = await findFreeAddress();
  await using _peer = await servePeer(address, 8_000_000);
  const options = { digest: "upstreams", fleetToken: FLEET_TOKEN };
  const fetched = await tryFetchConfiguration(address, options);
  strictEqual(fetched?.content.length, 8_000_000);
});

test("a table that shrinks is sent compressed, and arrives as it was", async () => {
  // Guards against copies that fill the link between two regions.
  const address = await findFreeAddress();
  const content = Buffer.from("route ".repeat(20_000));
  await using _peer = await serveContent(address, () => content);
  const options = { digest: "config", fleetToken: FLEET_TOKEN };
  const fetched = await tryFetchConfiguration(address, options);
  ok(fetched!.sentBytes < content.length / 10, `${fetched!.sentBytes} bytes`);
  deepStrictEqual(Buffer.from(fetched!.content), content);
});

test("a host of an earlier version gets a table as it is", async () => {
  // Guards against hosts that can't read the configuration while others are upgraded.
  const address = await findFreeAddress();
  const content = Buffer.from("route ".repeat(20_000));
  await using _peer = await serveContent(address, () => content);
  const reply = await fetchWithoutCompression(address);
  deepStrictEqual(Buffer.from(reply.content), content);
  strictEqual(reply.isGzip, false);
});

/** Fetches as hosts did that did not say what they accept. */
function fetchWithoutCompression(address: string): Promise<FetchReply> {
  const { path, requestSerialize, responseDeserialize } =
    peerService.fetchConfiguration;
  const client = new Client(address, credentials.createInsecure());
  const metadata = new Metadata();
  metadata.set(FLEET_TOKEN_KEY, FLEET_TOKEN);
  return new Promise<FetchReply>((resolve, reject) => {
    client.makeUnaryRequest(
      path,
      requestSerialize,
      responseDeserialize,
      create(FetchRequestSchema, { digest: "config" }),
      metadata,
      (err, reply) => err === null ? resolve(reply!) : reject(err),
    );
  }).finally(() => client.close());
}
