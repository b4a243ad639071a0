/**
 * Routes, configurations and upstreams for tests of entry hosts.
 *
 * @module
 */

import type { UpstreamEntry } from "../discovery/mod.ts";
import type { Route, RoutingConfig } from "../routing/mod.ts";

/** Creates a route for prompts, with the changes given. */
export function createRoute(changes: Partial<Route> = {}): Route {
  return {
    name: "drafts",
    hostName: "model.example",
    pathPrefix: "/drafts/",
    kind: "stream",
    services: [{ service: "model", weight: 1 }],
    timeoutMs: 5_000,
    targetMs: 800,
    pauseTargetMs: 400,
    rank: 1,
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
    hasPrompts: true,
    allowedRegions: [],
    ...changes,
  };
}

/** Creates a configuration with one team, with the changes given. */
export function createRoutingConfig(
  changes: Partial<RoutingConfig> = {},
): RoutingConfig {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{
      name: "model",
      maxConnections: 100,
      promptMemoryTokens: 400_000,
      warmUp: undefined,
      memoryTransfer: undefined,
    }],
    teams: [{
      name: "fitters",
      keys: ["key-of-fitters"],
      allowedRegions: [],
    }],
    callerLimits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tokensPerSecond: 100_000,
    problems: [],
    ...changes,
  };
}

/** Creates a ready upstream, with the changes given. */
export function createUpstreamEntry(
  changes: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id: "engine-1",
    service: "model",
    dataCentre: "lagos-ikeja",
    address: "127.0.0.1:1",
    slots: 48,
    state: "ready",
    incarnation: 1,
    warmUpLeftMs: 0,
    softwareVersion: "v1",
    ...changes,
  };
}
