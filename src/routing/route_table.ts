/**
 * Finds the route and the team of a request in one configuration. Both are
 * looked up in maps that are built once for each configuration version, so that
 * 350 more routes or 290 more teams do not make a request slower.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { WarmUpLimit } from "../warmup/types.ts";
import { type AllowedRegions, intersectRegions } from "./allowed_regions.ts";
import type {
  MemoryTransfer,
  Route,
  RoutingConfig,
  WeightedService,
} from "./types.ts";

/** Indexes of one configuration. */
export interface RouteTable {
  readonly config: RoutingConfig;
  /**
   * Returns the route of the host name with the longest matching path prefix.
   */
  tryGetRoute(hostHeader: string, target: string): Route | undefined;
  /** Returns the team that the key belongs to. */
  tryGetTeam(key: string): string | undefined;
  /**
   * Returns the shortest first-event target among the service's prompt routes,
   * in ms; `undefined` when no prompt route uses the service.
   */
  tryGetPromptTargetMs(service: string): number | undefined;
  /** Returns the limit on requests to the service's cold upstreams. */
  tryGetWarmUpLimit(service: string): WarmUpLimit | undefined;
  /** Returns how the service's upstreams fetch memory from each other. */
  tryGetMemoryTransfer(service: string): MemoryTransfer | undefined;
  /** Returns the regions that both the route and the team allow. */
  getAllowedRegions(route: Route, team: string | undefined): AllowedRegions;
  /** Returns the regions that all routes of the host name allow. */
  getAllowedRegionsOfHostName(hostName: string): AllowedRegions;
}

/** Creates the route table of a configuration. */
export function createRouteTable(config: RoutingConfig): RouteTable {
  const routesByHost = new Map<string, Map<string, Route>>();
  for (const route of config.routes) {
    getOrCreate(routesByHost, route.hostName, () => new Map<string, Route>())
      .set(route.pathPrefix, route);
  }
  const teamByKey = new Map<string, string>();
  for (const team of config.teams) {
    for (const key of team.keys) teamByKey.set(key, team.name);
  }

  const warmUpByService = new Map(
    config.services.map((service) => [service.name, service.warmUp]),
  );
  const transferByService = new Map(
    config.services.map((service) => [service.name, service.memoryTransfer]),
  );
  const regionsByTeam = new Map(
    config.teams.map((team) => [team.name, team.allowedRegions]),
  );

  const promptTargetMsByService = new Map<string, number>();
  for (const route of config.routes.filter((each) => each.hasPrompts)) {
    for (const { service } of route.services) {
      const known = promptTargetMsByService.get(service) ?? Infinity;
      promptTargetMsByService.set(service, Math.min(known, route.targetMs));
    }
  }

  return {
    config,
    tryGetPromptTargetMs: (service) => promptTargetMsByService.get(service),
    tryGetRoute(hostHeader, target) {
      const routes = routesByHost.get(getHostName(hostHeader));
      if (routes === undefined) return undefined;
      return tryGetLongestPrefix(routes, getPath(target));
    },
    tryGetTeam: (key) => teamByKey.get(key),
    tryGetWarmUpLimit: (service) => warmUpByService.get(service),
    tryGetMemoryTransfer: (service) => transferByService.get(service),
    getAllowedRegions: (route, team = "") =>
      intersectRegions([route.allowedRegions, regionsByTeam.get(team) ?? []]),
    getAllowedRegionsOfHostName(hostName) {
      const routes = routesByHost.get(getHostName(hostName))?.values() ?? [];
      return intersectRegions([...routes].map((each) => each.allowedRegions));
    },
  };
}

/**
 * Picks one of a route's services by weight; `random` is at least 0 and below
 * 1.
 */
export function pickService(
  services: readonly WeightedService[],
  random: number,
): string {
  const total = services.reduce((sum, each) => sum + each.weight, 0);
  let left = random * total;
  for (const each of services) {
    left -= each.weight;
    if (left < 0) return each.service;
  }
  return services[services.length - 1]!.service;
}

/** Tries the prefixes of the path that end at a slash, the longest first. */
function tryGetLongestPrefix(
  routes: ReadonlyMap<string, Route>,
  path: string,
): Route | undefined {
  let end = path.lastIndexOf("/");
  while (end >= 0) {
    const route = routes.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
    end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
  }
  return undefined;
}

function getHostName(hostHeader: string): string {
  return hostHeader.replace(/:\d+$/, "").toLowerCase();
}

function getPath(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}
