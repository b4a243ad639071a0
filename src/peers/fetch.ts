/**
 * Fetches the bytes of a configuration or table from one peer. Each fetch opens
 * a new connection: fetches are rare, and a new connection can't have been
 * dropped silently by the network.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import { Client, credentials, Metadata } from "@grpc/grpc-js";
import { type FetchReply, FetchRequestSchema } from "../generated/peer_pb.ts";
import { getDecompressed } from "./content_compression.ts";
import { peerService } from "./peer_service.ts";
import { FLEET_TOKEN_KEY } from "./peer_link.ts";

/**
 * Time-out of a fetch in ms. A slower peer is treated as dead, and the next one
 * is tried.
 */
const FETCH_TIMEOUT_MS = 1_500;

/**
 * Limit on a reply, in bytes. A table of 10,000 upstreams takes some 2.4 MB; the
 * library's own limit is 4 MB, and a table beyond it would reach no host that
 * doesn't read it from the platform itself.
 */
const MAX_REPLY_BYTES = 16_000_000;

/** A peer's reply. */
export interface FetchedConfiguration {
  readonly content: Uint8Array;
  /** Size of the content as it was sent, which may be compressed. */
  readonly sentBytes: number;
  /** Number of hosts that the peer knows, including itself. */
  readonly knownHosts: number;
}

/**
 * Fetches the content; returns `undefined` if the peer does not have it or
 * can't be reached. `digest` is the configuration's digest, or a table's name
 * between entry hosts.
 */
export async function tryFetchConfiguration(
  peerAddress: string,
  options: { readonly digest: string; readonly fleetToken: string },
): Promise<FetchedConfiguration | undefined> {
  const client = new Client(peerAddress, credentials.createInsecure(), {
    "grpc.max_receive_message_length": MAX_REPLY_BYTES,
  });
  try {
    const reply = await callFetch(client, options);
    if (!reply?.found) return undefined;
    const { content, isGzip, knownHosts } = reply;
    if (!isGzip) return { content, knownHosts, sentBytes: content.length };
    const decompressed = await getDecompressed(content, MAX_REPLY_BYTES);
    return { content: decompressed, knownHosts, sentBytes: content.length };
  } catch {
    // A content that can't be decompressed is of no more use than none.
    return undefined;
  } finally {
    client.close();
  }
}

function callFetch(
  client: Client,
  options: { readonly digest: string; readonly fleetToken: string },
): Promise<FetchReply | undefined> {
  const { fetchConfiguration } = peerService;
  const metadata = new Metadata();
  metadata.set(FLEET_TOKEN_KEY, options.fleetToken);
  return new Promise((resolve) => {
    client.makeUnaryRequest(
      fetchConfiguration.path,
      fetchConfiguration.requestSerialize,
      fetchConfiguration.responseDeserialize,
      create(FetchRequestSchema, {
        digest: options.digest,
        acceptsGzip: true,
      }),
      metadata,
      { deadline: Date.now() + FETCH_TIMEOUT_MS },
      (err, reply) => resolve(err === null ? reply : undefined),
    );
  });
}
