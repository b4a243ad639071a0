/**
 * Fetches a configuration's bytes from one peer. Each fetch dials anew: it is
 * rare, and a fresh connection can't have gone silent unnoticed.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import { Client, credentials, Metadata } from "@grpc/grpc-js";
import { type FetchReply, FetchRequestSchema } from "../generated/peer_pb.ts";
import { peerService } from "./peer_service.ts";
import { FLEET_TOKEN_KEY } from "./peer_link.ts";

/** A peer that takes longer is as good as dead; the next one is asked. */
const FETCH_TIMEOUT_MS = 1_500;

/** What a peer gave. */
export interface FetchedConfiguration {
  readonly content: Uint8Array;
  /** Hosts that the peer knows of, itself included. */
  readonly knownHosts: number;
}

/** The bytes, or `undefined` when the peer has none or can't be reached. */
export async function tryFetchConfiguration(
  peerAddress: string,
  options: { readonly digest: string; readonly fleetToken: string },
): Promise<FetchedConfiguration | undefined> {
  const client = new Client(peerAddress, credentials.createInsecure());
  try {
    const reply = await callFetch(client, options);
    return reply?.found ? reply : undefined;
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
      create(FetchRequestSchema, { digest: options.digest }),
      metadata,
      { deadline: Date.now() + FETCH_TIMEOUT_MS },
      (err, reply) => resolve(err === null ? reply : undefined),
    );
  });
}
