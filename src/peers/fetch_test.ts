import { deepStrictEqual } from "node:assert";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { test } from "node:test";
import { tryFetchConfiguration } from "./fetch.ts";
import { listenForPeers, type PeerServer } from "./peer_server.ts";

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

function servePeer(address: string): Promise<PeerServer> {
  return listenForPeers(address, {
    fleetToken: FLEET_TOKEN,
    onFrame: () => {},
    tryGetConfiguration: (digest) => Buffer.from(`copy of ${digest}`),
    countHosts: () => 2,
  });
}

/** A network before a peer that can forget the connections open in it. */
async function openProxy(peerAddress: string) {
  const [host, port] = peerAddress.split(":");
  const sockets: Socket[] = [];
  const server = createServer((caller) => {
    const peer = connect(Number(port), host);
    caller.pipe(peer).pipe(caller);
    sockets.push(caller, peer);
    for (const socket of [caller, peer]) socket.on("error", () => {});
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    address: getAddress(server),
    /** What is sent on connections that are open now gets no answer. */
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

async function fetchText(address: string): Promise<string | undefined> {
  const options = { digest: "config", fleetToken: FLEET_TOKEN };
  const fetched = await tryFetchConfiguration(address, options);
  return fetched && Buffer.from(fetched.content).toString();
}

test("a fetch works though the proxy has forgotten open connections", async () => {
  // A host fetches a configuration. The network between the hosts forgets the
  // connection: no reset, no answer, new connections work. Seconds later operators
  // change a route, and the host is to fetch again. Were it to use the connection
  // from before, its callers would be refused until that is given up.
  const address = await findFreeAddress();
  await using _peer = await servePeer(address);
  await using proxy = await openProxy(address);
  const before = await fetchText(proxy.address);
  proxy.dropConnections();
  const after = await fetchText(proxy.address);
  deepStrictEqual([before, after], ["copy of config", "copy of config"]);
});

test("a fetch works as soon as a peer is back", async () => {
  // A peer is restarted; a fetch meets nobody. It is back at once and tells its
  // versions: a fetch must ask it, not remember that it was away.
  const address = await findFreeAddress();
  const before = await fetchText(address);
  await using _peer = await servePeer(address);
  const after = await fetchText(address);
  deepStrictEqual([before, after], [undefined, "copy of config"]);
});
