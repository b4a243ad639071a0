import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createManualClock } from "../core/mod.ts";
import { createIntake, type IntakeState } from "./intake.ts";

function createFixture() {
  const clock = createManualClock(1_000);
  const states: IntakeState[] = [];
  let mayBeFull = true;
  let utilization = 0;
  const intake = createIntake({
    clock,
    mayBeFull: () => mayBeFull,
    getUtilization: () => utilization,
    onDecision: (state) => void states.push(state),
  });
  return {
    intake,
    states,
    forbidFull: () => void (mayBeFull = false),
    setUtilization: (value: number) => void (utilization = value),
    /** Runs event-loop iterations of `turnMs` each for `forMs`. */
    run(turnMs: number, forMs: number): void {
      for (let atMs = 0; atMs < forMs; atMs += turnMs) {
        clock.advance(turnMs);
        intake.tick();
      }
    },
  };
}

test("a host whose event-loop iterations stay long becomes full", () => {
  // Guards against a team that overloads a single host because it reports
  // ready.
  const fixture = createFixture();
  fixture.run(11, 2_000);
  strictEqual(fixture.intake.isFull(), false);
  fixture.run(60, 2_000);
  strictEqual(fixture.intake.isFull(), true);
});

test("a throttled host without idle time becomes full though its iterations are short", () => {
  // Guards against callers without a connection at a host that reports ready.
  const fixture = createFixture();
  fixture.setUtilization(0.96);
  fixture.run(11, 2_000);
  strictEqual(fixture.intake.isFull(), true);
  fixture.setUtilization(0.5);
  fixture.run(11, 4_500);
  strictEqual(fixture.intake.isFull(), false);
});

test("a single long event-loop iteration does not make a host full", () => {
  const fixture = createFixture();
  fixture.run(400, 400);
  fixture.run(11, 1_000);
  deepStrictEqual(fixture.states, []);
});

test("a full host takes callers again only after the minimum time", () => {
  // Guards against callers that switch between hosts each second.
  const fixture = createFixture();
  fixture.run(60, 1_100);
  fixture.run(11, 2_000);
  strictEqual(fixture.intake.isFull(), true);
  fixture.run(11, 2_500);
  strictEqual(fixture.intake.isFull(), false);
  strictEqual(fixture.states.at(-1)!.isFull, false);
});

test("a host that may not be full takes callers, however long its iterations are", () => {
  const fixture = createFixture();
  fixture.run(60, 2_000);
  fixture.forbidFull();
  fixture.run(60, 2_000);
  strictEqual(fixture.intake.isFull(), false);
});

test("Node accepts one connection per event-loop iteration", async () => {
  // Guards against a runtime with another accept behaviour, for which the limit
  // on the mean iteration would be wrong.
  let turn = 0;
  let isCounting = true;
  const count = () => {
    turn++;
    if (isCounting) setImmediate(count);
  };
  const turns: number[] = [];
  const callers: Socket[] = [];
  const server = createServer((socket) => {
    turns.push(turn);
    socket.destroy();
  });
  await new Promise<void>((resolve) =>
    server.listen({ host: "127.0.0.1", port: 0, backlog: 64 }, resolve)
  );
  const address = server.address();
  ok(address !== null && typeof address === "object");
  for (let at = 0; at < 12; at++) {
    callers.push(connect(address.port, "127.0.0.1").on("error", () => {}));
  }
  // All connections wait to be accepted before the first iteration is counted.
  count();
  while (turns.length < callers.length) await sleep(5);
  isCounting = false;
  strictEqual(new Set(turns).size, turns.length);
  for (const caller of callers) caller.destroy();
  server.close();
});
