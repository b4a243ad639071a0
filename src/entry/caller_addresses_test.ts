import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import type { Member, MemberState } from "../membership/mod.ts";
import { chooseAddresses } from "./caller_addresses.ts";

const regions = new Map([["a", "one"], ["b", "one"], ["c", "two"]]);

function createMember(
  host: string,
  dataCentre: string,
  state: MemberState = "alive",
): Member {
  return {
    host,
    incarnation: 1,
    revision: 1,
    state,
    dataCentre,
    peerAddress: `${host}:1`,
    publicAddress: host,
  };
}

function choose(
  members: readonly Member[],
  fullHosts: readonly string[] = [],
  allowedRegions?: readonly string[],
): readonly string[] {
  return chooseAddresses({
    members,
    query: { hostName: "model.example", dataCentre: "a", region: "one" },
    allowedRegions: allowedRegions && new Set(allowedRegions),
    getRegion: (each) => regions.get(each),
    isFull: (member) => fullHosts.includes(member.host),
  });
}

test("callers receive the nearest hosts first, and more than one as a fallback", () => {
  const members = [
    createMember("c1", "c"),
    createMember("b1", "b"),
    createMember("a1", "a"),
    createMember("a2", "a"),
  ];
  deepStrictEqual(choose(members), ["a1", "a2", "b1", "c1"]);
});

test("a host that is suspect, leaving or dead is not returned", () => {
  // A host loses power and its callers query again within two seconds. A caller
  // that receives its address waits a second for a connection that is never
  // established.
  const members = [
    createMember("a1", "a", "suspect"),
    createMember("a2", "a", "leaving"),
    createMember("a3", "a", "dead"),
    createMember("b1", "b"),
  ];
  deepStrictEqual(choose(members), ["b1"]);
});

test("no more addresses are returned than callers accept", () => {
  const members = Array.from(
    { length: 100 },
    (_, at) => createMember(`a${at}`, "a"),
  );
  strictEqual(choose(members).length, 64);
});

test("a full host is not returned while another host takes callers", () => {
  // Guards against callers of teams within their share that wait for a
  // connection at a host overloaded by another team.
  const members = [createMember("a1", "a"), createMember("b1", "b")];
  deepStrictEqual(choose(members, ["a1"]), ["b1"]);
  deepStrictEqual(choose(members, ["a1", "b1"]), ["a1", "b1"]);
});

test("hosts outside the own and the allowed regions are returned only if there are no others", () => {
  // Guards against bodies of a confined route that are sent to a host abroad.
  const near = createMember("b1", "b");
  const abroad = createMember("c1", "c");
  deepStrictEqual(choose([near, abroad], [], ["one"]), ["b1"]);
  deepStrictEqual(choose([near, abroad], [], ["two"]), ["b1", "c1"]);
  deepStrictEqual(choose([abroad], [], ["one"]), ["c1"]);
  deepStrictEqual(choose([near, abroad], ["b1"], ["one"]), ["b1"]);
});
