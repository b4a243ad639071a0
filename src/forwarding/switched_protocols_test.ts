import { deepStrictEqual, ok } from "node:assert";
import { test } from "node:test";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { answer } from "../testing/raw_responses.ts";

/** Well below the time-out of a request, in ms. */
const AT_ONCE_MS = 1_000;

const UPGRADE = "connection: upgrade\r\nupgrade: other\r\n";

/** Answers with a status that only an interim response has. */
const createSwitch =
  (lines: string, body: string): Behaviour => (socket, { id }) =>
    void socket.write(
      `HTTP/1.1 101 Switching Protocols\r\nx-id: ${id}\r\nx-seal: s\r\n` +
        `${lines}\r\n${body}`,
    );

const behaviours = {
  "with a length": createSwitch("content-length: 4\r\n", "sick"),
  "in chunks": createSwitch(
    "transfer-encoding: chunked\r\n",
    "4\r\nsick\r\n0\r\n\r\n",
  ),
  "that upgrades": createSwitch(UPGRADE, "sick"),
  "that upgrades with a length": createSwitch(
    `${UPGRADE}content-length: 4\r\n`,
    "sick",
  ),
};

for (const [what, behaviour] of Object.entries(behaviours)) {
  for (const kind of ["at-most-once", "stream"] as const) {
    test(`a response 101 ${what} to a request of kind "${kind}" fails at once`, async () => {
      // Guards against an interim response that a caller gets as the final one.
      await using fixture = await createForwardFixture([behaviour], {
        kind,
        isResumable: false,
      });
      const { status, longestWaitMs } = await fixture.call();
      deepStrictEqual(status, 502);
      ok(longestWaitMs < AT_ONCE_MS, `${longestWaitMs}`);
    });
  }

  test(`a request that may be repeated goes to another upstream behind a response 101 ${what}`, async () => {
    await using fixture = await createForwardFixture([
      behaviour,
      (socket, { id }) => void socket.write(answer(id, "done")),
    ], { kind: "idempotent", isResumable: false });
    const { status, body, longestWaitMs } = await fixture.call();
    deepStrictEqual([status, body], [200, "done"]);
    ok(longestWaitMs < AT_ONCE_MS, `${longestWaitMs}`);
  });
}
