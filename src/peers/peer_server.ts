/**
 * The server side of peer links: answers hellos and pings, and delivers the
 * frames that peers send. Grants and counter views are sent back on the same
 * stream.
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
import { getCompressed, isCompressible } from "./content_compression.ts";
import { peerService } from "./peer_service.ts";
import { FLEET_TOKEN_KEY } from "./peer_link.ts";

/** Dependencies of a peer server. */
export interface PeerServerHost {
  readonly fleetToken: string;
  onFrame(peer: string, frame: Frame): void;
  /**
   * The content of a configuration by its digest, or of a table by its name;
   * `undefined` if it is not available here.
   */
  tryGetConfiguration(digest: string): Uint8Array | undefined;
  /** Number of hosts known here, including this one. */
  countHosts(): number;
}

/** The gRPC server of one host. */
export interface PeerServer extends AsyncDisposable {
  /** Whether the peer has an open link to this host. */
  isConnected(peer: string): boolean;
  /**
   * Sends to a peer that has an open link to this host; returns false if none
   * is open.
   */
  trySend(peer: string, frame: Frame): boolean;
}

type Stream = ServerDuplexStream<Frame, Frame>;

/**
 * Listens on the address, an IP and a port; rejects if it is already in use.
 */
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
    const { digest, acceptsGzip } = call.request;
    const found = host.tryGetConfiguration(digest);
    const content = found ?? new Uint8Array();
    const reply = create(FetchReplySchema, {
      found: found !== undefined,
      content,
      knownHosts: host.countHosts(),
    });
    if (!acceptsGzip || !isCompressible(content)) return done(null, reply);
    getCompressed(content).then(
      (compressed) =>
        done(null, { ...reply, content: compressed, isGzip: true }),
      () => done({ code: status.INTERNAL }),
    );
  }

  server.addService(peerService, { open, fetchConfiguration });
  try {
    await bind(server, address);
  } catch (err) {
    server.forceShutdown();
    throw err;
  }
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
