import { deepStrictEqual, strictEqual } from "node:assert";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { answer, unframedHead } from "../testing/raw_responses.ts";

const once = { kind: "at-most-once", isResumable: false } as const;
const plain = { kind: "idempotent", isResumable: false } as const;
const stream = { kind: "stream", isResumable: false } as const;

/** Fits into this host's kernel, but not into the upstream's as well. */
const UPLOAD = "a".repeat(2_000_000);

const options = { maxBodyBytes: UPLOAD.length };

/** Time from an upstream's orderly end to its reset: later than it is watched. */
const LATE_RESET_MS = 70;

/** Sends a part of its answer as the upload begins, and ends in order. */
function endEarly(socket: Socket, id: string): void {
  socket.pause();
  socket.end(`${unframedHead(id)}id: 1\ndata: part\n\n`);
}

const resetsLater: Behaviour = (socket, { id }) => {
  endEarly(socket, id);
  setTimeout(() => socket.resetAndDestroy(), LATE_RESET_MS);
};

for (const route of [once, stream]) {
  test(`a part of an answer without a length, whose upstream doesn't read the upload, is not complete (${route.kind})`, async () => {
    // Guards against a part that looks whole, as the reset comes late.
    for (let call = 0; call < 6; call++) {
      await using fixture = await createForwardFixture(
        [resetsLater],
        route,
        options,
      );
      const res = await fixture.call({ body: UPLOAD });
      strictEqual(res.status === 200 && !res.isTruncated, false, `${call}`);
    }
  });
}

test("a request that may be repeated goes to another upstream if the first ends before it reads the upload", async () => {
  await using fixture = await createForwardFixture(
    [
      resetsLater,
      (socket, { id }) => {
        socket.resume();
        socket.write(answer(id, "done"));
      },
    ],
    plain,
    options,
  );
  const { status, body } = await fixture.call({ body: UPLOAD });
  deepStrictEqual([status, body], [200, "done"]);
});

test("an answer without a length that comes before the upload was read is complete once the upload was", async () => {
  // Guards against a whole answer that is replaced by a failure.
  await using fixture = await createForwardFixture(
    [
      async (socket, { id }) => {
        socket.pause();
        socket.write(`${unframedHead(id)}early`);
        await sleep(20);
        socket.end(" and whole");
        socket.resume();
      },
    ],
    once,
    options,
  );
  const { status, body } = await fixture.call({ body: UPLOAD });
  deepStrictEqual([status, body], [200, "early and whole"]);
});
