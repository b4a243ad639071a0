import { deepStrictEqual, strictEqual } from "node:assert";
import { Socket } from "node:net";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createForwardFixture } from "../testing/forward_fixture.ts";
import {
  CLOSING_CHUNK,
  countPieces,
  createHeldUpstream,
  createPiece,
  LAST_PIECES,
  resetAndWait,
  sendLastPieces,
  sendUntilPaused,
  summarize,
  waitUntilRead,
} from "../testing/held_upstream.ts";
import {
  openPipeliningCaller,
  openSlowCaller,
} from "../testing/raw_callers.ts";
import { answer, chunk, streamHead } from "../testing/raw_responses.ts";

const stream = { kind: "stream", isResumable: false } as const;
const once = { kind: "at-most-once", isResumable: false } as const;

/** Longer than the time after which a silent stream is resumed, in ms. */
const CALLER_PAUSE_MS = 2_000;

/** Time, in ms, in which the host has surely ended answered requests. */
const SETTLE_MS = 50;

/** Listeners of a new socket, and the one of Node's HTTP server. */
const NODE_LISTENERS = new Socket().listenerCount("end") + 1;

const PIPELINED_IDS = Array.from({ length: 12 }, (_, at) => `piped-${at}`);

const PIECE = chunk(createPiece(1, 10));

test("a pipelined response behind a stream that is cut is not taken for the stream's rest", async () => {
  // Guards against a cut stream that looks whole because more follows it.
  const held = createHeldUpstream();
  await using fixture = await createForwardFixture([held.behaviour], stream);
  using caller = openPipeliningCaller(fixture.port);
  caller.send(["first", "second"]);
  const first = await held.waitForRequest("first");
  first.write(streamHead("first") + PIECE);
  const second = await held.waitForRequest("second");
  second.write(streamHead("second") + PIECE + CLOSING_CHUNK);
  await waitUntilRead(fixture.agent, second);
  await resetAndWait(fixture.agent, first);
  const read = await caller.read(2);
  deepStrictEqual(summarize(read), [[false, 1]]);
  strictEqual(read.isClosed, true);
});

test("a stream whose relay is paused for a slow caller stays at its upstream", async () => {
  // Guards against counting a caller's pause as silence of the upstream.
  const held = createHeldUpstream();
  await using fixture = await createForwardFixture(
    [held.behaviour, held.behaviour],
    { kind: "stream", isResumable: true },
  );
  using caller = openSlowCaller(fixture.port, "slow");
  const upstream = await held.waitForRequest("slow");
  upstream.write(streamHead("slow"));
  const sent = await sendUntilPaused(fixture, upstream);
  sendLastPieces(upstream);
  await sleep(CALLER_PAUSE_MS);
  strictEqual(fixture.arrivals.length, 1);
  const res = await caller.read();
  deepStrictEqual([res.isComplete, countPieces(res.body)], [
    true,
    sent + LAST_PIECES,
  ]);
});

/** Returns the number of listeners of each event that has any. */
function countListeners(socket: Socket): Record<string, number> {
  const counts = socket.eventNames()
    .map((name) => [String(name), socket.listenerCount(name)] as const);
  return Object.fromEntries(counts.sort());
}

test("many pipelined requests cause no warning of a leak and leave no listeners behind", async () => {
  // Guards against a listener for each request, which warns of a leak.
  const warnings: string[] = [];
  const onWarning = (warning: Error) => void warnings.push(warning.name);
  process.on("warning", onWarning);
  const held = createHeldUpstream();
  await using fixture = await createForwardFixture([held.behaviour], once);
  using caller = openPipeliningCaller(fixture.port);
  const run = async (ids: readonly string[]) => {
    caller.send(ids);
    const upstreams = await Promise.all(ids.map(held.waitForRequest));
    ids.forEach((id, at) => upstreams[at]!.write(answer(id, "done")));
    const { responses } = await caller.read(ids.length);
    deepStrictEqual(responses.map(({ body }) => body), ids.map(() => "done"));
    await sleep(SETTLE_MS);
    return countListeners(fixture.responses[0]!.req.socket);
  };
  const before = await run(["alone"]);
  const after = await run(PIPELINED_IDS);
  process.off("warning", onWarning);
  deepStrictEqual([warnings, after], [[], before]);
});

test("streams on one connection leave no listener behind", async () => {
  // Guards against a connection that holds a listener for each past request.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(
      streamHead(id) + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n",
    );
  }]);
  using caller = openPipeliningCaller(fixture.port);
  const listeners: number[] = [];
  for (let at = 0; at < 3; at++) {
    caller.send([`stream-${at}`]);
    const { responses } = await caller.read(1);
    deepStrictEqual(responses.map(({ status }) => status), [200]);
    await sleep(0);
    const { socket } = fixture.responses[at]!.req;
    listeners.push(socket.listenerCount("end"));
  }
  deepStrictEqual(listeners, [NODE_LISTENERS, NODE_LISTENERS, NODE_LISTENERS]);
});
