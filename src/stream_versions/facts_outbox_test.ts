import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { createFactsOutbox } from "./facts_outbox.ts";

test("an answer that becomes due after a host's end is not sent", async () => {
  // Guards against a process that ends by an error at a closed socket.
  const sent: string[] = [];
  const outbox = createFactsOutbox((_facts, to) => void sent.push(to));
  outbox.add("a", { key: "k", version: 1, value: "" });
  await setImmediate();
  outbox[Symbol.dispose]();
  outbox.add("b", { key: "k", version: 1, value: "" });
  await setImmediate();
  deepStrictEqual(sent, ["a"]);
});
