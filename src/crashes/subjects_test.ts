import { deepStrictEqual, ok } from "node:assert";
import { test } from "node:test";
import { getSharedParts, isPart } from "./subjects.ts";

test("the last part of a prompt is no subject", () => {
  // Guards against reports of parts that no other request has.
  deepStrictEqual(getSharedParts(["5c1e07a2", "91bd3f06", "own"]), [
    "part-5c1e07a2",
    "part-91bd3f06",
  ]);
  deepStrictEqual(getSharedParts(["own"]), []);
  deepStrictEqual(getSharedParts([]), []);
});

test("a part that stands twice in a prompt is named once", () => {
  deepStrictEqual(getSharedParts(["a", "b", "a", "own"]), ["part-a", "part-b"]);
});

test("names of parts are short and safe in facts whatever callers send", () => {
  // Guards against a caller's text that is too large for a datagram, or that
  // reads as another subject.
  const ids = ["x".repeat(5_000), "a/b", "ä", "a b", ""];
  const names = getSharedParts([...ids, "own"]);
  deepStrictEqual(names.length, ids.length);
  for (const name of names) {
    ok(isPart(name) && /^part-[0-9A-Za-z]{32}$/.test(name), name);
  }
});

test("a prompt of very many parts costs a bounded number of names", () => {
  const ids = Array.from({ length: 500 }, (_, at) => `${at}`);
  deepStrictEqual(getSharedParts(ids).length, 16);
});
