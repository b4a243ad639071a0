/**
 * An HTTP server on loopback whose responses a test writes byte by byte.
 *
 * @module
 */

import { type AddressInfo, createServer, type Socket } from "node:net";
import { chunk } from "./raw_responses.ts";

/** A server that is listening. */
export interface RawServer extends AsyncDisposable {
  /** IP address and port. */
  readonly address: string;
}

/** Listens; calls `respond` with each connection that has sent a request. */
export async function listenRaw(
  respond: (socket: Socket, request: string) => void,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", (bytes) => respond(socket, bytes.toString()));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

/** Head of a response with a JSON body, up to what frames the body. */
export const JSON_HEAD =
  "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";

/** A response that switches to a protocol that nobody asked for. */
export const SWITCHING_RESPONSE = "HTTP/1.1 101 Switching Protocols\r\n" +
  "connection: upgrade\r\nupgrade: other\r\n\r\n";

/** The part of a JSON body in each framing: length, chunks, neither. */
export function cutResponses(whole: string, part: string): readonly string[] {
  return [
    `${JSON_HEAD}content-length: ${whole.length}\r\n\r\n${part}`,
    `${JSON_HEAD}transfer-encoding: chunked\r\n\r\n${chunk(part)}`,
    `${JSON_HEAD}\r\n${part}`,
  ];
}

/** The ways in which a connection ends. */
export const connectionEnds: readonly ((socket: Socket) => void)[] = [
  (socket) => socket.end(),
  (socket) => socket.resetAndDestroy(),
  (socket) => setTimeout(() => socket.resetAndDestroy(), 5),
];
