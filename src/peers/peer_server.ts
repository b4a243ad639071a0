/**
 * The side of a link that is dialed: greets back, answers pings and hands on
 * what dialers send. Grants and counter views go back on the same stream.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import {
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type ServerUnaryCall,
  status,
} from "@grpc/grpc-js";
import { isEqualInConstantTime } from "../core/mod.ts";
import {
  type FetchReply,
  FetchReplySchema,
  type FetchRequest,
  type Frame,
  FrameSchema,
} from "../generated/peer_pb.ts";
import { peerService } from "./peer_service.ts";
import { FLEET_TOKEN_KEY } from "./peer_link.ts";

/** What the server needs of the process. */
export interface PeerServerHost {
  readonly fleetToken: string;
  onFrame(peer: string, frame: Frame): void;
  /** Files of a configuration by digest; `undefined` when not known here. */
  tryGetConfiguration(digest: string): Uint8Array | undefined;
  /** Hosts known here, this one included. */
  countHosts(): number;
}

/** The gRPC server of one router. */
export interface PeerServer extends AsyncDisposable {
  /** Whether the host has dialed this one. */
  isConnected(peer: string): boolean;
  /** Sends to a host that dialed this one; false when it is not connected. */
  trySend(peer: string, frame: Frame): boolean;
}

type Stream = ServerDuplexStream<Frame, Frame>;

/** Listens on the address, an IP and a port; rejects when it is taken. */
export async function listenForPeers(
  address: string,
  host: PeerServerHost,
): Promise<PeerServer> {
  const streams = new Map<string, Stream>();
  const server = new Server();

  function isOfFleet(metadata: Stream["metadata"]): boolean {
    const token = String(metadata.get(FLEET_TOKEN_KEY)[0] ?? "");
    return isEqualInConstantTime(token, host.fleetToken);
  }

  function open(stream: Stream): void {
    if (!isOfFleet(stream.metadata)) {
      stream.destroy(
        Object.assign(new Error("Unknown fleet"), {
          code: status.UNAUTHENTICATED,
        }),
      );
      return;
    }
    let peer = "";
    stream.on("data", (frame: Frame) => {
      if (frame.hello !== undefined) {
        peer = frame.hello.host;
        streams.set(peer, stream);
        stream.write(create(FrameSchema, { pong: true }));
      }
      if (frame.ping) stream.write(create(FrameSchema, { pong: true }));
      host.onFrame(peer, frame);
    });
    stream.on("error", () => {});
    stream.on("end", () => stream.end());
    stream.on("close", () => {
      if (streams.get(peer) === stream) streams.delete(peer);
    });
  }

  function fetchConfiguration(
    call: ServerUnaryCall<FetchRequest, FetchReply>,
    done: sendUnaryData<FetchReply>,
  ): void {
    if (!isOfFleet(call.metadata)) {
      done({ code: status.UNAUTHENTICATED });
      return;
    }
    const content = host.tryGetConfiguration(call.request.digest);
    const reply = {
      found: content !== undefined,
      content: content ?? new Uint8Array(),
      knownHosts: host.countHosts(),
    };
    done(null, create(FetchReplySchema, reply));
  }

  server.addService(peerService, { open, fetchConfiguration });
  await bind(server, address);
  return {
    isConnected: (peer) => streams.has(peer),
    trySend(peer, frame) {
      const stream = streams.get(peer);
      if (stream === undefined) return false;
      stream.write(frame);
      return true;
    },
    [Symbol.asyncDispose]() {
      server.forceShutdown();
      return Promise.resolve();
    },
  };
}

function bind(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (err) => {
      if (err === null) resolve();
      else reject(err);
    });
  });
}
