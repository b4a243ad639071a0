import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  CONFIRMATION_TIMEOUT_MS,
  decideToRead,
  READER_COUNT,
} from "./reader_selection.ts";

const hosts = Array.from({ length: 89 }, (_, at) => `10.0.0.${at}:7400`);

function getReaders(failed: readonly string[] = [], unconfirmedMs = 0) {
  return hosts.filter((self) =>
    decideToRead({
      self,
      hosts,
      hasRecentFailure: (host) => failed.includes(host),
      unconfirmedMs,
    }).reads
  );
}

test("of 89 hosts three follow the platform and not all", () => {
  strictEqual(getReaders().length, READER_COUNT);
});

test("readers that the platform turns away are replaced at once", () => {
  // The platform serves everyone but a third of the hosts, all three readers
  // among them. A key is taken away. Without other readers no host would know,
  // and callers would go on with the key past the bound.
  const before = getReaders();
  const after = getReaders(before);
  strictEqual(after.length, READER_COUNT);
  strictEqual(after.some((host) => before.includes(host)), false);
});

test("while the platform turns everyone away somebody still asks", () => {
  deepStrictEqual(getReaders(hosts), getReaders());
});

test("a host that hears of no reader reads itself", () => {
  // The datagrams of the readers are lost on a cut link.
  strictEqual(getReaders([], CONFIRMATION_TIMEOUT_MS + 1).length, hosts.length);
});
