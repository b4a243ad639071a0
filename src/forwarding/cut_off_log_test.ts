import { deepStrictEqual, ok } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createForwardFixture } from "../testing/forward_fixture.ts";
import { createEvent } from "../testing/stream_events.ts";
import { streamHead } from "../testing/raw_responses.ts";

test("the log names the shared parts of a prompt whose answer broke off", async () => {
  // Guards against a crash of which nobody can tell which part was there.
  await using fixture = await createForwardFixture([async (socket, { id }) => {
    socket.write(streamHead(id) + createEvent(1));
    await sleep(60);
    socket.resetAndDestroy();
  }], { kind: "stream", isResumable: false });
  await fixture.call();
  const failed = fixture.log.find((each) => each.event === "attempt-failed");
  ok(failed?.event === "attempt-failed" && failed.kind === "cut-off");
  deepStrictEqual(failed.parts, ["part-shared"]);
  ok(failed.sinceFirstEventMs! >= 50, `${failed.sinceFirstEventMs}`);
});
