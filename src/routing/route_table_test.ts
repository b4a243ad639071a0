import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  createRoute,
  createRoutingConfig,
} from "../testing/routing_fixture.ts";
import { createRouteTable, pickService } from "./route_table.ts";

function createTable() {
  return createRouteTable(createRoutingConfig({
    routes: [
      createRoute({ name: "all", pathPrefix: "/" }),
      createRoute({ name: "drafts", pathPrefix: "/drafts/" }),
      createRoute({ name: "long", pathPrefix: "/drafts/long/" }),
      createRoute({
        name: "other-host",
        hostName: "desk.example",
        pathPrefix: "/visits/",
      }),
    ],
  }));
}

test("the longest path prefix of the host name selects the route", () => {
  const table = createTable();
  const find = (host: string, target: string) =>
    table.tryGetRoute(host, target)?.name;
  deepStrictEqual([
    find("model.example", "/drafts/long/1?x=/drafts/"),
    find("model.example:8080", "/drafts/longer"),
    find("MODEL.example", "/else"),
    find("desk.example", "/visits/7"),
    find("desk.example", "/drafts/7"),
    find("unknown.example", "/drafts/7"),
  ], ["long", "drafts", "all", "other-host", undefined, undefined]);
});

test("the query does not affect the choice of the route", () => {
  const route = createTable().tryGetRoute("desk.example", "/?a=/visits/");
  strictEqual(route, undefined);
});

test("a key selects its team, and an unknown key selects none", () => {
  const table = createTable();
  strictEqual(table.tryGetTeam("key-of-fitters"), "fitters");
  strictEqual(table.tryGetTeam("key-of-nobody"), undefined);
});

test("a route with several services picks them by weight", () => {
  const services = [{ service: "a", weight: 90 }, { service: "b", weight: 10 }];
  strictEqual(pickService(services, 0), "a");
  strictEqual(pickService(services, 0.899), "a");
  strictEqual(pickService(services, 0.901), "b");
  strictEqual(pickService(services, 0.999), "b");
});
