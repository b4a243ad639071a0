/**
 * The link from this host to one peer: dials, sends the hello and frames, and
 * delivers the peer's frames. Each link is run by one fiber in a loop: dial,
 * serve the connection until it is lost, wait, dial again.
 *
 * Failure prevented: a connection can fail silently while new ones work. The
 * link therefore sends its own pings and reconnects if the peer does not answer
 * in time; TCP keep-alive would detect this only after minutes.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import {
  Client,
  type ClientDuplexStream,
  credentials,
  Metadata,
} from "@grpc/grpc-js";
import * as Effect from "effect/Effect";
import { assertNever, type Clock } from "../core/mod.ts";
import { type Frame, FrameSchema } from "../generated/peer_pb.ts";
import { peerService } from "./peer_service.ts";
import {
  createLinkKeepalive,
  type LinkKeepaliveOptions,
} from "./link_keepalive.ts";

/** Times of a link in ms. */
export interface PeerLinkOptions extends LinkKeepaliveOptions {
  readonly redialDelayMs: number;
}

/** Default times, for links within and between regions. */
export const defaultPeerLinkOptions: PeerLinkOptions = {
  pingIntervalMs: 1_000,
  idlePingIntervalMs: 20_000,
  pongTimeoutMs: 3_000,
  redialDelayMs: 200,
};

/** Dependencies of a peer link. */
export interface PeerLinkHost {
  readonly clock: Clock;
  readonly fleetToken: string;
  createHello(): Frame;
  /**
   * Whether a slot at the peer is held or requested, or an answer is pending.
   */
  isInUse(): boolean;
  onOpen(): void;
  onFrame(frame: Frame): void;
  onLost(reason: string): void;
}

/** A link to one peer. */
export interface PeerLink {
  /**
   * Sends the frame immediately, or drops it if the link is not established.
   */
  send(frame: Frame): void;
  isOpen(): boolean;
  /** Runs the link until the effect is interrupted. */
  readonly run: Effect.Effect<never>;
}

type Stream = ClientDuplexStream<Frame, Frame>;

/** Name of the gRPC metadata entry that carries the fleet's token. */
export const FLEET_TOKEN_KEY = "azurestile-fleet";

/** Creates a link to the peer's address; it connects while `run` runs. */
export function createPeerLink(
  address: string,
  host: PeerLinkHost,
  options: PeerLinkOptions = defaultPeerLinkOptions,
): PeerLink {
  let stream: Stream | undefined;
  let isEstablished = false;

  function dial(): Stream {
    const client = new Client(address, credentials.createInsecure(), {
      "grpc.initial_reconnect_backoff_ms": options.redialDelayMs,
    });
    const metadata = new Metadata();
    metadata.set(FLEET_TOKEN_KEY, host.fleetToken);
    const { open } = peerService;
    const opened = client.makeBidiStreamRequest(
      open.path,
      open.requestSerialize,
      open.responseDeserialize,
      metadata,
    );
    opened.on("close", () => client.close());
    return opened;
  }

  /** Serves one connection; succeeds with the reason for its loss. */
  const runConnection = Effect.callback<string>((resume) => {
    const opened = dial();
    stream = opened;
    const keepalive = createLinkKeepalive(options, host.clock.monotonicMs());
    opened.on("data", (frame: Frame) => {
      keepalive.recordReceived(host.clock.monotonicMs());
      if (!isEstablished) {
        isEstablished = true;
        host.onOpen();
      }
      host.onFrame(frame);
    });
    opened.on("error", (err) => resume(Effect.succeed(err.message)));
    opened.on("end", () => resume(Effect.succeed("The peer closed the link")));
    opened.write(host.createHello());
    const pingTimer = setInterval(() => {
      const nowMs = host.clock.monotonicMs();
      const decision = keepalive.decide(nowMs, host.isInUse());
      switch (decision.kind) {
        case "wait":
          return;
        case "ask":
          opened.write(create(FrameSchema, { ping: true }));
          return;
        case "give-up": {
          const silentMs = Math.round(decision.silentMs);
          resume(Effect.succeed(`No data from the peer for ${silentMs} ms`));
          return;
        }
        default:
          assertNever(decision);
      }
    }, options.pingIntervalMs);
    return Effect.sync(() => {
      clearInterval(pingTimer);
      close(opened);
    });
  });

  function close(opened: Stream): void {
    stream = undefined;
    isEstablished = false;
    opened.on("error", () => {});
    opened.cancel();
  }

  const run = Effect.gen(function* () {
    while (true) {
      const reason = yield* runConnection.pipe(
        Effect.ensuring(Effect.sync(() => {
          if (stream !== undefined) close(stream);
        })),
      );
      host.onLost(reason);
      yield* Effect.sleep(options.redialDelayMs);
    }
  });

  return {
    send(frame) {
      if (isEstablished) stream?.write(frame);
    },
    isOpen: () => isEstablished,
    run,
  };
}
