import { strictEqual } from "node:assert";
import { test } from "node:test";
import { chooseKeepers } from "./keepers.ts";

const createHosts = (dataCentres: number, hostsInEach: number) =>
  Array.from({ length: dataCentres * hostsInEach }, (_, at) => ({
    peerAddress: `10.0.0.${at}:9000`,
    dataCentre: `dc-${at % dataCentres}`,
  }));

const digests = Array.from({ length: 200 }, (_, at) => `digest-${at}`);

test("a stream is kept in three data centres where there are as many", () => {
  const hosts = createHosts(4, 5);
  const dataCentreOf = new Map(
    hosts.map((each) => [each.peerAddress, each.dataCentre]),
  );
  for (const digest of digests) {
    const keepers = chooseKeepers(digest, hosts);
    const dataCentres = keepers.map((each) => dataCentreOf.get(each));
    strictEqual(new Set(dataCentres).size, 3);
  }
});

test("a stream is kept by three hosts where there are fewer data centres", () => {
  for (const digest of digests) {
    strictEqual(new Set(chooseKeepers(digest, createHosts(1, 9))).size, 3);
    strictEqual(new Set(chooseKeepers(digest, createHosts(2, 4))).size, 3);
  }
  strictEqual(chooseKeepers("digest", createHosts(1, 2)).length, 2);
});

test("hosts that differ in one member share two keepers of each stream", () => {
  const hosts = createHosts(3, 3);
  for (const digest of digests) {
    const others = chooseKeepers(digest, hosts.slice(1));
    const shared = chooseKeepers(digest, hosts)
      .filter((each) => others.includes(each));
    strictEqual(shared.length >= 2, true);
  }
});
