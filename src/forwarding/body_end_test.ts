import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import type { ConnectResult } from "../crashes/mod.ts";
import { type BodyEnd, tryGetBodyFailure } from "./body_end.ts";
import type { ConnectionEnd } from "./connection_end.ts";

function isComplete(end: BodyEnd): boolean {
  return tryGetBodyFailure(end) === undefined;
}

test("a body with a length or chunks is complete if its end was received", () => {
  // Guards against a part that counts because its connection ended in order.
  strictEqual(isComplete({ kind: "framed", isReceived: true }), true);
  strictEqual(isComplete({ kind: "framed", isReceived: false }), false);
});

test("a body without a length is complete only after an orderly end of an upstream that lives", () => {
  // Guards against a part behind which the upstream was killed or reset.
  const connections: readonly ConnectionEnd[] = ["closed", "failed"];
  const contacts: readonly ConnectResult[] = [
    "accepted",
    "failed",
    "refused",
    "no-answer",
  ];
  const complete = connections.flatMap((connection) =>
    contacts
      .filter((contact) =>
        isComplete({ kind: "until-close", connection, contact, unreadMs: 0 })
      )
      .map((contact) => [connection, contact])
  );
  deepStrictEqual(complete, [["closed", "accepted"]]);
});

test("an orderly end without proof is no sign that its content crashed the upstream", () => {
  // Guards against innocent content that is blocked while upstreams restart.
  const contact = "refused";
  const getKind = (connection: ConnectionEnd) =>
    tryGetBodyFailure({ kind: "until-close", connection, contact, unreadMs: 0 })
      ?.kind;
  deepStrictEqual([getKind("closed"), getKind("failed")], [
    "broken",
    "cut-off",
  ]);
});

test("an end that may have waited long proves nothing, though the upstream accepts", () => {
  // Guards against the next process of a killed upstream that accepts in its place.
  const end = {
    kind: "until-close",
    connection: "closed",
    contact: "accepted",
  } as const;
  deepStrictEqual(isComplete({ ...end, unreadMs: 999 }), true);
  deepStrictEqual(isComplete({ ...end, unreadMs: 1_000 }), false);
});
