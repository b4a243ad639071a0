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
      lackedMs: 0,
    }).reads
  );
}

test("three of 89 hosts read the platform's tables", () => {
  strictEqual(getReaders().length, READER_COUNT);
});

test("readers whose reads fail are replaced at once", () => {
  // The platform rejects a third of the hosts, including all three readers,
  // while an operator revokes an API key. Without replacements no host would
  // learn of it, and callers could use the key beyond the permitted time.
  const before = getReaders();
  const after = getReaders(before);
  strictEqual(after.length, READER_COUNT);
  strictEqual(after.some((host) => before.includes(host)), false);
});

test("if reads fail at all hosts, the first in rank keep trying", () => {
  deepStrictEqual(getReaders(hosts), getReaders());
});

test("a host that receives no report from a reader reads the table itself", () => {
  // The readers' datagrams are lost on a broken network link.
  strictEqual(getReaders([], CONFIRMATION_TIMEOUT_MS + 1).length, hosts.length);
});
