import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createCrashFact } from "../crashes/mod.ts";
import {
  type Behaviour,
  createForwardFixture,
  type ForwardFixture,
} from "../testing/forward_fixture.ts";

const plain = { kind: "idempotent", isResumable: false } as const;

const loses: Behaviour = (socket) => socket.resetAndDestroy();

const answers: Behaviour = (socket, { id }) =>
  void socket.write(
    `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\ncontent-length: 0\r\n\r\n`,
  );

/** Blocks the content as another host does that has seen three crashes. */
function block(fixture: ForwardFixture, fingerprint: string): void {
  for (const process of ["1/a", "1/b", "1/c"]) {
    const event = { subject: fingerprint, process, atMs: Date.now() };
    fixture.crashes
      .receiveFact(createCrashFact({ ...event, state: "counted" }));
  }
}

test("content that is blocked during an attempt is not sent to another upstream", async () => {
  // Guards against a block that is asked for once, when the request arrives.
  await using fixture = await createForwardFixture([loses, answers], plain);
  fixture.controls.onDecision = (decision) => {
    if (decision.event !== "attempt-failed") return;
    block(fixture, decision.fingerprint!);
  };
  strictEqual((await fixture.call()).status, 502);
  deepStrictEqual(fixture.arrivals, ["up-0"]);
});

test("content that is blocked while it waits in the queue is not sent", async () => {
  await using fixture = await createForwardFixture([loses], {
    kind: "stream",
    hasPrompts: true,
  });
  using _passes = fixture.startSchedulingPasses();
  let fingerprint = "";
  fixture.controls.onDecision = (decision) => {
    if (decision.event === "attempt-failed") {
      fingerprint = decision.fingerprint!;
    }
  };
  await fixture.call({ id: "first" });
  fixture.controls.inFlight = 48;
  const waiting = fixture.call({ id: "second" });
  await sleep(100);
  block(fixture, fingerprint);
  fixture.controls.inFlight = 0;
  strictEqual((await waiting).status, 502);
  deepStrictEqual(fixture.arrivals, ["up-0"]);
});
