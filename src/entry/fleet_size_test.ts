import { strictEqual } from "node:assert";
import { test } from "node:test";
import type { Member, MemberState } from "../membership/mod.ts";
import { getServingHosts } from "./fleet_size.ts";

function createMember(host: string, state: MemberState): Member {
  return {
    host,
    incarnation: 1,
    revision: 1,
    state,
    dataCentre: "lagos-ikeja",
    peerAddress: host,
    publicAddress: host,
  };
}

test("a host that is cut off from the others takes no larger part of the limits", () => {
  // Guards against hosts that each use the whole fleet's retries when they
  // can't reach each other.
  const members = ["dead", "dead", "suspect", "leaving"] as const;
  const known = members.map((state, at) => createMember(`other-${at}`, state));
  const serving = getServingHosts([createMember("self", "alive"), ...known]);
  strictEqual(serving.length, 4);
});
