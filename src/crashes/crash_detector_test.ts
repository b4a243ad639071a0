import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import {
  type ConnectResult,
  type CrashEvidence,
  createCrashDetector,
} from "./crash_detector.ts";
import { createProcess } from "../testing/crash_fixture.ts";

const upstream = createProcess("a");

function createFixture(result: ConnectResult) {
  const clock = createManualClock(1_000);
  const asked: string[] = [];
  const ended: {
    readonly contents: readonly string[];
    readonly evidence: CrashEvidence;
  }[] = [];
  const detector = createCrashDetector({
    clock,
    tryConnect(address) {
      asked.push(address);
      return Promise.resolve(result);
    },
    onEnded: (_, contents, evidence) => ended.push({ contents, evidence }),
    onAsked: () => {},
  });
  return { clock, asked, ended, detector };
}

/** Waits until the answers of `tryConnect` have been handled. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test("an upstream that refuses a connection right after a response broke off has crashed", async () => {
  // Guards against waiting for other requests, which a service that is down
  // does not get.
  for (const result of ["refused", "no-answer"] as const) {
    const { detector, ended } = createFixture(result);
    detector.recordCutOff(upstream, "poison");
    detector.recordCutOff(upstream, "beside");
    await settle();
    const contents = ["poison", "beside"];
    deepStrictEqual(ended, [{ contents, evidence: "asked" }]);
  }
});

test("responses that break off after the answer belong to the same crash", async () => {
  const { detector, ended } = createFixture("refused");
  detector.recordCutOff(upstream, "poison");
  await settle();
  detector.recordCutOff(upstream, "beside");
  deepStrictEqual(ended.flatMap((each) => each.contents), ["poison", "beside"]);
});

test("an upstream that accepts a connection has not crashed", async () => {
  // Guards against counting a lost response, or this host's own failure to
  // connect, as a crash.
  for (const result of ["accepted", "failed"] as const) {
    const { detector, ended } = createFixture(result);
    detector.recordCutOff(upstream, "read");
    await settle();
    deepStrictEqual(ended, []);
  }
});

test("an upstream that is replaced soon after a response broke off has crashed", async () => {
  // Guards against an upstream that is back before this host asks.
  const successors = [
    { ...upstream, incarnation: 2 },
    { ...createProcess("b"), address: upstream.address },
  ];
  for (const successor of successors) {
    const { detector, ended, clock } = createFixture("accepted");
    detector.recordCutOff(upstream, "poison");
    await settle();
    detector.recordRunning(upstream);
    detector.recordRunning(createProcess("c"));
    deepStrictEqual(ended, []);
    clock.advance(5_000);
    detector.recordRunning(successor);
    deepStrictEqual(ended, [{ contents: ["poison"], evidence: "replaced" }]);
  }
});

test("an upstream that crashes right after it was asked is asked again", async () => {
  // Guards against a crash that hides behind a response that was lost just
  // before it.
  const { detector, asked, clock } = createFixture("accepted");
  detector.recordCutOff(upstream, "read");
  await settle();
  clock.advance(100);
  detector.recordCutOff(upstream, "poison");
  detector.tick();
  strictEqual(asked.length, 1);
  clock.advance(500);
  detector.tick();
  detector.tick();
  strictEqual(asked.length, 2);
});

test("all upstreams of a lost rack are asked in the end", () => {
  const { detector, asked, clock } = createFixture("accepted");
  for (let each = 0; each < 15; each++) {
    detector.recordCutOff(createProcess(`u-${each}`), "read");
  }
  for (let turn = 0; turn < 4; turn++) {
    clock.advance(500);
    detector.tick();
  }
  strictEqual(new Set(asked).size, 15);
});

test("lost responses cost few connections", async () => {
  // Guards against a connection for each of the responses that an upstream
  // loses, and against one to each upstream of a lost rack at once.
  const { detector, asked, clock } = createFixture("accepted");
  for (let response = 0; response < 100; response++) {
    detector.recordCutOff(upstream, `${response}`);
  }
  await settle();
  strictEqual(asked.length, 1);
  for (let other = 0; other < 100; other++) {
    detector.recordCutOff(createProcess(`other-${other}`), "read");
  }
  strictEqual(asked.length, 5);
  clock.advance(1_000);
  detector.recordCutOff(upstream, "read");
  strictEqual(asked.length, 6);
});
