/**
 * Links between routers: gRPC streams for slots and counters, datagrams for
 * membership.
 *
 * @module
 */

export * from "./datagrams.ts";
export * from "./fetch.ts";
export * from "./peer_service.ts";
export * from "./peer_link.ts";
export * from "./peer_server.ts";
export * from "./load_codec.ts";
