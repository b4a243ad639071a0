/**
 * Tests of hosts that leave, and of hosts that rejoin after a network
 * partition.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createMembership } from "./membership.ts";
import type { Membership } from "./membership_types.ts";
import type { Member, MembershipMessage } from "./types.ts";

const PERIOD_MS = 500;

function createSelf(host: string): Member {
  return {
    host,
    incarnation: 1,
    revision: 1,
    state: "alive",
    dataCentre: "dc-1",
    peerAddress: host,
    publicAddress: host,
  };
}

/**
 * Three hosts that know each other; `network.isLost` decides which datagrams
 * are lost.
 */
function createFixture() {
  const clock = createManualClock();
  const hosts = new Map<string, Membership>();
  const network = { isLost: (_from: string, _to: string) => false };
  const queue: (() => void)[] = [];
  const names = ["a", "b", "c"];
  for (const name of names) {
    hosts.set(
      name,
      createMembership(createSelf(name), {
        clock,
        random: () => 0.5,
        onChange() {},
        onFact() {},
        onConfigVersion() {},
        getConfigVersion: () => ({ version: 0, digest: "" }),
        send(address: string, message: MembershipMessage) {
          if (network.isLost(name, address)) return;
          queue.push(() => hosts.get(address)!.receive(message, name));
        },
      }),
    );
  }
  for (const each of hosts.values()) {
    for (const name of names) each.applyUpdate(createSelf(name));
  }

  function run(ms: number): void {
    for (let at = 0; at < ms; at += PERIOD_MS) {
      clock.advance(PERIOD_MS);
      for (const each of hosts.values()) each.tick();
      while (queue.length > 0) queue.shift()!();
    }
  }

  const getState = (at: string, of: string) =>
    hosts.get(at)!.getMembers().find((each) => each.host === of)!.state;
  return { hosts, network, run, getState };
}

test("a host that left and exited never becomes usable again", () => {
  // A host drains and exits, so that the others' probes get no answer. Guards
  // against making it a suspect: suspects are usable, so it would own upstreams
  // again for some seconds.
  const { hosts, network, run, getState } = createFixture();
  hosts.get("c")!.leave();
  run(2_000);
  assert.equal(getState("a", "c"), "leaving");
  network.isLost = (from, to) => from === "c" || to === "c";
  for (let round = 0; round < 20; round++) {
    run(PERIOD_MS);
    assert.equal(hosts.get("a")!.isUsable("c"), false);
    assert.equal(hosts.get("b")!.isUsable("c"), false);
  }
  assert.equal(getState("a", "c"), "dead");
});

test("a leaving host whose datagrams were lost stays leaving", () => {
  // The host's answers are lost for a while. Guards against hosts that then
  // take it for alive: "/where" would name a host that refuses requests.
  const { hosts, network, run, getState } = createFixture();
  hosts.get("c")!.leave();
  run(2_000);
  network.isLost = (from) => from === "c";
  run(1_500);
  network.isLost = () => false;
  run(10_000);
  assert.notEqual(getState("a", "c"), "alive");
  assert.notEqual(getState("b", "c"), "alive");
});

test("a leaving host overrides an update that calls it alive", () => {
  // A host that does not know that the host is leaving gossips it as alive with
  // a higher revision. Guards against that update overriding the host's own.
  const { hosts, run, getState } = createFixture();
  hosts.get("c")!.leave();
  run(2_000);
  hosts.get("a")!.applyUpdate({ ...createSelf("c"), revision: 9 });
  run(5_000);
  assert.equal(getState("a", "c"), "leaving");
  assert.equal(getState("b", "c"), "leaving");
});

test("both sides of a network partition rejoin", () => {
  // Host c is cut off for 15 s, and each side declares the other dead. Guards
  // against sides that never probe each other again: they would grant the slots
  // of the same upstream twice for good.
  const { network, run, getState } = createFixture();
  network.isLost = (from, to) => (from === "c") !== (to === "c");
  run(15_000);
  assert.equal(getState("a", "c"), "dead");
  assert.equal(getState("c", "a"), "dead");
  network.isLost = () => false;
  run(10_000);
  for (const [at, of] of [["a", "c"], ["b", "c"], ["c", "a"], ["c", "b"]]) {
    assert.equal(getState(at!, of!), "alive");
  }
});
