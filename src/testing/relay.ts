/**
 * A TCP and UDP relay that can block traffic or stall connections. A stalled
 * connection stays open but carries no data, while new connections work, as
 * when a middlebox has lost the state of the connection.
 *
 * @module
 */

import { type Buffer } from "node:buffer";
import { createSocket, type Socket as DatagramSocket } from "node:dgram";
import { connect, createServer, type Socket } from "node:net";

/** A relay for one address. */
export interface Relay extends AsyncDisposable {
  /** Open connections carry no data from now on; new ones work. */
  stallOpenConnections(): void;
  /** Closes connections and drops datagrams of the sources that are blocked. */
  setBlocked(isBlocked: (source: string) => boolean): void;
}

/** Addresses that a relay connects. */
export interface RelaySpec {
  /** Address where the relay listens. */
  readonly from: string;
  /** Address where the process behind the relay listens. */
  readonly to: string;
  /** Whether to relay datagrams too, as needed between routers. */
  readonly datagrams: boolean;
  /** Host that sends datagrams from the address; empty if unknown. */
  getDatagramSource(address: string): string;
}

interface Connection {
  readonly client: Socket;
  readonly target: Socket;
  /** Id of the connecting host; empty until a chunk contains one. */
  source: string;
  isStalled: boolean;
}

/** The first frame of a peer contains its host's id as plain bytes. */
const HOST_ID_IN_HELLO = /entry-\d+/;

const neverBlocked = () => false;

/** Starts a relay; rejects when its address is taken. */
export async function startRelay(spec: RelaySpec): Promise<Relay> {
  const connections = new Set<Connection>();
  let isBlocked: (source: string) => boolean = neverBlocked;

  function close(connection: Connection): void {
    connections.delete(connection);
    connection.client.destroy();
    connection.target.destroy();
  }

  function forward(connection: Connection, to: Socket, chunk: Buffer): void {
    if (connection.source === "") {
      const match = HOST_ID_IN_HELLO.exec(chunk.toString("latin1"));
      connection.source = match?.[0] ?? "";
    }
    if (isBlocked(connection.source)) close(connection);
    else if (!connection.isStalled) to.write(chunk);
  }

  const [toHost, toPort] = split(spec.to);
  const server = createServer((client) => {
    const target = connect(toPort, toHost);
    const connection = { client, target, source: "", isStalled: false };
    connections.add(connection);
    client.on("data", (chunk) => forward(connection, target, chunk));
    target.on("data", (chunk) => forward(connection, client, chunk));
    for (const socket of [client, target]) {
      socket.on("error", () => close(connection));
      // A stalled connection also hides that the other end has closed.
      socket.on("close", () => {
        if (!connection.isStalled) close(connection);
      });
    }
  });
  const [fromHost, fromPort] = split(spec.from);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(fromPort, fromHost, () => resolve());
  });
  const datagrams = spec.datagrams
    ? await relayDatagrams(spec, (source) => isBlocked(source))
    : undefined;

  return {
    stallOpenConnections() {
      for (const connection of connections) connection.isStalled = true;
    },
    setBlocked(check) {
      isBlocked = check;
      for (const connection of connections) {
        if (check(connection.source)) close(connection);
      }
    },
    async [Symbol.asyncDispose]() {
      for (const connection of connections) close(connection);
      await new Promise((resolve) => server.close(resolve));
      await datagrams?.[Symbol.asyncDispose]();
    },
  };
}

/** Relays datagrams, with one socket per source for the way back. */
async function relayDatagrams(
  spec: RelaySpec,
  isBlocked: (source: string) => boolean,
): Promise<AsyncDisposable> {
  const [fromHost, fromPort] = split(spec.from);
  const [toHost, toPort] = split(spec.to);
  const inner = new Map<string, DatagramSocket>();
  const outer = createSocket("udp4");

  function getInner(address: string, port: number): DatagramSocket {
    const key = `${address}:${port}`;
    const known = inner.get(key);
    if (known !== undefined) return known;
    const socket = createSocket("udp4");
    inner.set(key, socket);
    socket.on("error", () => {});
    socket.on("message", (bytes) => {
      if (!isBlocked(spec.getDatagramSource(key))) {
        outer.send(bytes, port, address);
      }
    });
    return socket;
  }

  outer.on("error", () => {});
  outer.on("message", (bytes, sender) => {
    const source = spec.getDatagramSource(`${sender.address}:${sender.port}`);
    if (isBlocked(source)) return;
    getInner(sender.address, sender.port).send(bytes, toPort, toHost);
  });
  await new Promise<void>((resolve) =>
    outer.bind(fromPort, fromHost, () => resolve())
  );
  return {
    [Symbol.asyncDispose]() {
      for (const socket of inner.values()) socket.close();
      outer.close();
      return Promise.resolve();
    },
  };
}

function split(address: string): [string, number] {
  const [host = "", port = ""] = address.split(":");
  return [host, Number(port)];
}
