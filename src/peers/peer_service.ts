/**
 * The definition of the gRPC service between routers, with the generated
 * Protocol Buffers codec.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { MethodDefinition, ServiceDefinition } from "@grpc/grpc-js";
import {
  FetchReplySchema,
  FetchRequestSchema,
  type Frame,
  FrameSchema,
} from "../generated/peer_pb.ts";
import type { FetchReply, FetchRequest } from "../generated/peer_pb.ts";

const open: MethodDefinition<Frame, Frame> = {
  path: "/azurestile.peer.v1.PeerLink/Open",
  requestStream: true,
  responseStream: true,
  requestSerialize: (frame) => Buffer.from(toBinary(FrameSchema, frame)),
  requestDeserialize: (bytes) => fromBinary(FrameSchema, bytes),
  responseSerialize: (frame) => Buffer.from(toBinary(FrameSchema, frame)),
  responseDeserialize: (bytes) => fromBinary(FrameSchema, bytes),
};

const fetchConfiguration: MethodDefinition<FetchRequest, FetchReply> = {
  path: "/azurestile.peer.v1.PeerLink/FetchConfiguration",
  requestStream: false,
  responseStream: false,
  requestSerialize: (req) => Buffer.from(toBinary(FetchRequestSchema, req)),
  requestDeserialize: (bytes) => fromBinary(FetchRequestSchema, bytes),
  responseSerialize: (res) => Buffer.from(toBinary(FetchReplySchema, res)),
  responseDeserialize: (bytes) => fromBinary(FetchReplySchema, bytes),
};

/** The service definition for both server and client. */
export const peerService = {
  open,
  fetchConfiguration,
} satisfies ServiceDefinition;
