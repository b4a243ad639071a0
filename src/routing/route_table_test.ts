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

test("the longest prefix of the path wins, for its host name alone", () => {
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

test("a query never takes part in the choice of the route", () => {
  const route = createTable().tryGetRoute("desk.example", "/?a=/visits/");
  strictEqual(route, undefined);
});

test("a key belongs to the team that holds it, and an unknown one to none", () => {
  const table = createTable();
  strictEqual(table.tryGetTeam("key-of-fitters"), "fitters");
  strictEqual(table.tryGetTeam("key-of-nobody"), undefined);
});

test("a split route sends each service its share", () => {
  const services = [{ service: "a", weight: 90 }, { service: "b", weight: 10 }];
  strictEqual(pickService(services, 0), "a");
  strictEqual(pickService(services, 0.899), "a");
  strictEqual(pickService(services, 0.901), "b");
  strictEqual(pickService(services, 0.999), "b");
});
