import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import {
  createPromptQueue,
  type UpstreamLoad,
  type WaitingPrompt,
} from "../queue/mod.ts";
import { createGrantClient, type GrantOutcome } from "./grant_client.ts";

const NO_LOAD: UpstreamLoad = {
  slots: 48,
  inFlight: 1,
  readingTokens: 0,
  underservedElsewhere: 0,
  underservedTokens: 0,
  yieldingElsewhere: 0,
  isWarmUpSpent: false,
};

/** A queue whose prompts may use three upstreams, each of another owner. */
function createFixture() {
  const clock = createManualClock();
  const sent: string[] = [];
  const log: string[] = [];
  const ended: GrantOutcome[] = [];
  const controls = { movedOwner: "", tokens: 5_000, isEnabled: true };
  const client = createGrantClient({
    nowMs: clock.monotonicMs,
    isEnabled: () => controls.isEnabled,
    tryGetOwner: (upstream) =>
      upstream === "a" && controls.movedOwner !== ""
        ? controls.movedOwner
        : `owner-${upstream}`,
    tryGetUpstreamDigest: (upstream) => upstream.charCodeAt(0),
    getDigest: (name) => name.length,
    send: (to, item) =>
      void sent.push(
        item.kind === "request"
          ? `request ${item.request.number} to ${to}`
          : item.kind === "release"
          ? `release ${item.number} to ${to}`
          : `start to ${to}`,
      ),
    start: (...granted) => queue.startGranted(...granted),
    onEnded: (outcome) => void ended.push(outcome),
  });
  const queue = createPromptQueue({
    nowMs: clock.monotonicMs,
    getLoad: () => NO_LOAD,
    getShareUsed: () => 0,
    getServiceRates: () => ({ asked: 0, begun: 0, mostBegun: 0 }),
    getCoverage: () => ({ hosts: 1, ageMs: 0 }),
    getServiceLevel: () => 0,
    isOverserved: () => false,
    isUnderserved: () => false,
    onWaiting() {},
    getProcessorUse: () => ({ utilization: 0, isShort: false }),
    getMeanEfficiency: () => 0,
    getLimitTokens: () => 15_000,
    random: () => 0.5,
    onStart() {},
    grants: client,
  });
  const prompt: WaitingPrompt = {
    request: "r-1",
    team: "calm",
    service: "model",
    route: "drafts",
    arrivedMs: 0,
    targetMs: 800,
    serviceTokens: 6_000,
    workTokens: 5_000,
    isBegun: false,
    isRepeated: false,
    isCallerConnected: () => true,
    getUpstreams: () =>
      ["a", "b", "c"].map((upstream) => ({
        upstream,
        readingTokens: controls.tokens,
        prefix: "held",
      })),
    start: (upstream, { grantMs }) =>
      void log.push(`${upstream} after ${grantMs}`),
    refuse: ({ reason }) => void log.push(reason),
  };
  return {
    clock,
    client,
    queue,
    prompt,
    controls,
    log,
    ended,
    takeSent: () => sent.splice(0),
    grant: (upstream: string, number: number) =>
      client.receive(`owner-${upstream}`, [{ kind: "grant", number }]),
    acknowledge: (upstream: string, number: number) =>
      client.receive(`owner-${upstream}`, [{ kind: "waiting", number }]),
    /** Runs the ticks of the host for the time given. */
    run(ms: number) {
      for (let at = 0; at < ms; at += 10) {
        clock.advance(10);
        client.tick();
        queue.tick();
      }
    },
  };
}

test("the next owner is asked after 100 ms, and the first grant cancels the others", () => {
  const fixture = createFixture();
  const { queue, prompt, log, ended, takeSent } = fixture;
  queue.add(prompt);
  deepStrictEqual(takeSent(), ["request 1 to owner-a"]);
  fixture.acknowledge("a", 1);
  fixture.run(90);
  deepStrictEqual(takeSent(), []);
  fixture.run(10);
  deepStrictEqual(takeSent(), ["request 2 to owner-b"]);
  fixture.acknowledge("b", 2);
  fixture.clock.advance(3);
  fixture.grant("b", 2);
  // At once, not in the next scheduling pass.
  deepStrictEqual(log, ["b after 103"]);
  deepStrictEqual(takeSent(), ["release 1 to owner-a"]);
  fixture.grant("a", 1);
  deepStrictEqual(takeSent(), ["release 1 to owner-a"]);
  fixture.run(1_000);
  deepStrictEqual([log.length, ended], [1, ["cancelled", "granted"]]);
});

test("a grant after the refusal is returned", () => {
  // Guards against an upstream that waits for prompts that never come.
  const fixture = createFixture();
  fixture.queue.add(fixture.prompt);
  // The owners keep all requests waiting, also the repeated ones.
  for (let at = 0; at < 48; at++) {
    ["a", "b", "c"].forEach((id, index) => fixture.acknowledge(id, index + 1));
    fixture.run(10);
  }
  deepStrictEqual(fixture.log, ["late"]);
  fixture.takeSent();
  fixture.grant("a", 1);
  deepStrictEqual(fixture.takeSent(), ["release 1 to owner-a"]);
  deepStrictEqual(fixture.log, ["late"]);
});

test("an owner that does not answer leads to the local rules for a second", () => {
  const { queue, prompt, client, log, ended, run } = createFixture();
  queue.add(prompt);
  run(90);
  deepStrictEqual(log, []);
  run(10);
  deepStrictEqual([log, ended], [["a after undefined"], ["unavailable"]]);
  run(990);
  ok(!client.needsGrant("a"));
  run(10);
  ok(client.needsGrant("a"));
});

test("a lost request is repeated, and another owner is asked anew", () => {
  const fixture = createFixture();
  fixture.queue.add(fixture.prompt);
  fixture.takeSent();
  fixture.acknowledge("a", 99);
  fixture.run(100);
  ok(fixture.takeSent().includes("request 1 to owner-a"));
  fixture.controls.movedOwner = "owner-d";
  fixture.run(10);
  deepStrictEqual(fixture.takeSent(), [
    "release 1 to owner-a",
    "request 3 to owner-d",
  ]);
});

test("an owner that answers others but not this request leads to the local rules", () => {
  // Guards against prompts that wait for an owner that does not know the
  // upstream.
  const { queue, prompt, log, run, acknowledge } = createFixture();
  queue.add(prompt);
  for (let at = 0; at < 4; at++) {
    run(50);
    acknowledge("a", 99);
  }
  deepStrictEqual(log, ["a after undefined"]);
});

test("an acknowledged request is repeated, and so a restarted owner learns of it", () => {
  // Guards against prompts that are refused since a grant was lost.
  const fixture = createFixture();
  fixture.queue.add(fixture.prompt);
  fixture.acknowledge("a", 1);
  fixture.takeSent();
  fixture.run(150);
  ok(fixture.takeSent().includes("request 1 to owner-a"));
});

test("a grant that arrives twice is not returned", () => {
  // Guards against an owner that grants the time of a started prompt again.
  const fixture = createFixture();
  fixture.queue.add(fixture.prompt);
  fixture.grant("a", 1);
  fixture.takeSent();
  fixture.grant("a", 1);
  deepStrictEqual(fixture.takeSent(), []);
});

test("few tokens, and few hosts, need no grant", () => {
  const small = createFixture();
  small.controls.tokens = 1_400;
  small.queue.add(small.prompt);
  deepStrictEqual(small.takeSent(), ["start to owner-a"]);
  const few = createFixture();
  few.controls.isEnabled = false;
  few.queue.add(few.prompt);
  deepStrictEqual(few.takeSent(), []);
  strictEqual(few.log.length, 1);
});
