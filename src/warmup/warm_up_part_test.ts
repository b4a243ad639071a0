import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import { getWarmUpPart, type PartHost } from "./warm_up_part.ts";

const REGIONS = ["lagos", "abuja"];

function createHosts(count: number, isAlive: (at: number) => boolean) {
  return Array.from({ length: count }, (_, at): PartHost => ({
    address: `10.0.0.${at}:1`,
    region: REGIONS[at % 2],
    isAlive: isAlive(at),
  }));
}

/** Sum of the parts of the hosts that are alive in this view. */
function getSum(
  hosts: readonly PartHost[],
  { key = "1/up-0", requestsPerSecond = 9 } = {},
): number {
  return hosts.filter((each) => each.isAlive).reduce(
    (sum, { address }) =>
      sum + getWarmUpPart({
        self: address,
        hosts,
        key,
        region: "lagos",
        requestsPerSecond,
      }),
    0,
  );
}

test("the parts of all hosts add up to no more than the limit, over all sides of a partition", () => {
  // Guards against an upstream that crashes again since each side of a
  // partition sends it the whole limit.
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 80 }),
    fc.integer({ min: 1, max: 4 }),
    fc.double({ min: 0.1, max: 200, noNaN: true }),
    fc.string(),
    (count, sides, requestsPerSecond, key) => {
      let sum = 0;
      for (let side = 0; side < sides; side++) {
        // Sides that each have hosts of both regions.
        const hosts = createHosts(count, (at) => (at >> 1) % sides === side);
        sum += getSum(hosts, { key, requestsPerSecond });
      }
      ok(sum <= requestsPerSecond * 1.000_001, `${sum}`);
    },
  ));
});

test("hosts in the upstream's region go first", () => {
  const hosts = createHosts(20, () => true);
  for (const { address, region } of hosts) {
    const part = getWarmUpPart({
      self: address,
      hosts,
      key: "1/up-0",
      region: "lagos",
      requestsPerSecond: 9,
    });
    if (part > 0) strictEqual(region, "lagos");
  }
  const far = createHosts(20, (at) => at % 2 === 1);
  ok(getSum(far) > 0, "without a near host the others have the limit");
});

test("only as many hosts are drawn as have a part worth having", () => {
  // Guards against parts of one request in eight seconds.
  const hosts = createHosts(390, () => true);
  const parts = hosts.map(({ address }) =>
    getWarmUpPart({
      self: address,
      hosts,
      key: "1/up-0",
      region: "lagos",
      requestsPerSecond: 9,
    })
  ).filter((part) => part > 0);
  strictEqual(parts.length, 2);
  ok(parts.every((part) => part >= 3));
});
