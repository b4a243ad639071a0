/**
 * Finds a request's route and team in one configuration. Both look-ups are maps
 * built once for a version, so that neither 350 routes more nor 290 teams more
 * cost a request anything.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { Route, RoutingConfig, WeightedService } from "./types.ts";

/** One configuration, ready to be asked. */
export interface RouteTable {
  readonly config: RoutingConfig;
  /** The route with the longest prefix of the path, for the host name. */
  tryGetRoute(hostHeader: string, target: string): Route | undefined;
  /** The team that holds the key. */
  tryGetTeam(key: string): string | undefined;
  /** Shortest target of prompts' first events, in ms; absent without prompts. */
  tryGetPromptTargetMs(service: string): number | undefined;
}

/** Makes the table of a configuration. */
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
  };
}

/** Picks a route's service by weight; `random` is from 0 up to 1. */
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

/** Walks the path's slashes from the last to the first. */
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
