import { deepStrictEqual } from "node:assert/strict";
import { test } from "node:test";
import { getDigest } from "../core/mod.ts";
import { type KeyHolders, tryGetOperator } from "./operator_key.ts";

function createHolders(teamKey: string): KeyHolders {
  return {
    operators: [
      { name: "ada", keyDigest: getDigest("key of ada") },
      { name: "bisi", keyDigest: getDigest("key of bisi") },
    ],
    teams: [{ keyDigest: getDigest(teamKey) }],
  };
}

test("only the key of an operator identifies an operator", () => {
  const holders = createHolders("key of a team");
  deepStrictEqual(tryGetOperator("Bearer key of bisi", holders), "bisi");
  for (
    const header of [
      undefined,
      "",
      "Bearer ",
      "key of ada",
      "Bearer key of a team",
      `Bearer ${getDigest("key of ada")}`,
    ]
  ) deepStrictEqual(tryGetOperator(header, holders), undefined);
});

/**
 * The configuration lists the digest of an operator's key for a team, by
 * mistake or to let the team's callers apply configurations.
 */
test("the key of a team gives no access to operators' endpoints", () => {
  const holders = createHolders("key of ada");
  deepStrictEqual(tryGetOperator("Bearer key of ada", holders), undefined);
  deepStrictEqual(tryGetOperator("Bearer key of bisi", holders), "bisi");
});
