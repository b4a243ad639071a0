/**
 * Communication between hosts: gRPC links for slots and counters, UDP datagrams
 * for membership and load reports, and fetches of configurations and tables.
 *
 * @module
 */

export * from "./datagrams.ts";
export * from "./fetch.ts";
export * from "./grpc_warnings.ts";
export * from "./peer_service.ts";
export * from "./peer_link.ts";
export * from "./peer_server.ts";
export * from "./load_codec.ts";
export * from "./upstream_stats_codec.ts";
export * from "./placement_codec.ts";
export * from "./grant_codec.ts";
