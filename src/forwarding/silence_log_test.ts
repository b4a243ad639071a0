import { deepStrictEqual, ok } from "node:assert";
import { Buffer } from "node:buffer";
import { Agent } from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { systemClock } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import {
  answer,
  chunk,
  headWithLength,
  streamHead,
  unframedHead,
} from "../testing/raw_responses.ts";
import { createAttemptTrace } from "./attempt_trace.ts";
import { readResponseBody } from "./response_body.ts";
import { createHeldMemory } from "./held_memory.ts";
import { createUpstreamCall } from "../testing/upstream_calls.ts";
import { openCall } from "./upstream_call.ts";

type FailedAttempt = Extract<Decision, { readonly event: "attempt-failed" }>;
type SilentAttempt = Extract<Decision, { readonly event: "attempt-silent" }>;
type EndedRequest = Extract<Decision, { readonly event: "request-ended" }>;

/** Time-outs of the routes and calls here, in ms. */
const TIMEOUT_MS = 400;
const STREAM_TIMEOUT_MS = 2_000;
const BODY_TIMEOUT_MS = 50;

const MAX_BODY_BYTES = 100;

/** Part of a time-out for which its timer has surely waited. */
const SURE_SHARE = 0.9;

const isSilent: Behaviour = () => {};
const sendsOneEvent: Behaviour = (socket, { id }) =>
  socket.write(streamHead(id) + chunk("id: 1\ndata: a\n\n"));

function getFailedAttempts(log: readonly Decision[]): readonly FailedAttempt[] {
  return log.filter((each) => each.event === "attempt-failed");
}

/** What the line of the only request tells of its end. */
function getEnd(log: readonly Decision[]): readonly unknown[] {
  const end = log.find((each): each is EndedRequest =>
    each.event === "request-ended"
  );
  const { outcome, status, isCut, silentPhase, silentMs } = end!;
  const isTimed = silentMs !== undefined;
  return [outcome, status, isCut, silentPhase, isTimed];
}

function getSilentAttempts(
  log: readonly Decision[],
): readonly SilentAttempt[] {
  return log.filter((each) => each.event === "attempt-silent");
}

/** What a line tells of the choice of the next step. */
function getSilenceChoice(line: SilentAttempt): readonly unknown[] {
  return [line.next, line.because, line.candidates, line.isBegun];
}

/** Whether the line tells a silence that lasted for all of its time-out. */
function isWholeSilence({ silence, remainingMs }: SilentAttempt): boolean {
  return Number.isInteger(remainingMs) &&
    silence.silentMs >= silence.limitMs * SURE_SHARE;
}

/** An agent whose connections are never made. */
class UnansweredAgent extends Agent {
  createConnection(): Socket {
    const socket = new Socket();
    Object.defineProperty(socket, "connecting", { value: true });
    return socket;
  }
}

const withoutBody = { method: "GET", body: Buffer.alloc(0) };

test("the line of a stream that fell silent tells for how long, and why its attempt goes on", async () => {
  // Guards against a cut stream whose log leaves open what cut it.
  await using fixture = await createForwardFixture([sendsOneEvent], {
    kind: "stream",
    isResumable: true,
    timeoutMs: STREAM_TIMEOUT_MS,
  });
  const { isTruncated } = await fixture.call();
  const lines = getSilentAttempts(fixture.log);
  deepStrictEqual(lines.map(getSilenceChoice), [
    ["wait", "No other upstream accepts requests", 0, true],
  ]);
  const [{ silence }] = lines as [SilentAttempt];
  deepStrictEqual([silence.phase, silence.isAborted], ["events", false]);
  ok(isWholeSilence(lines[0]!), JSON.stringify(lines));
  const end = fixture.log.find((each) => each.event === "request-ended");
  deepStrictEqual([isTruncated, end?.isCut, end?.silentPhase], [
    true,
    true,
    "events",
  ]);
});

test("the line of an upstream that was silent before the head tells that another was sought", async () => {
  // Guards against a request given up with nothing in the log about the others.
  await using fixture = await createForwardFixture([isSilent, isSilent], {
    kind: "idempotent",
    isResumable: false,
    timeoutMs: TIMEOUT_MS,
  });
  await fixture.call();
  const [line] = getSilentAttempts(fixture.log);
  deepStrictEqual(getSilenceChoice(line!), [
    "seek-another",
    undefined,
    1,
    false,
  ]);
  const { phase, isAborted } = line!.silence;
  deepStrictEqual([phase, isAborted], ["head", false]);
  ok(isWholeSilence(line!), JSON.stringify(line));
});

test("the line of a silent upstream that another has replaced tells what that took", async () => {
  // Guards against a take-over whose log leaves open what was chosen by what.
  const sendsAll: Behaviour = (socket, { id }) =>
    socket.write(streamHead(id) + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  await using fixture = await createForwardFixture([sendsOneEvent, sendsAll], {
    kind: "stream",
    isResumable: true,
  });
  const { isTruncated } = await fixture.call();
  const [line, ...others] = getFailedAttempts(fixture.log);
  deepStrictEqual([isTruncated, others.length], [false, 0]);
  deepStrictEqual(
    [line?.kind, line?.next, line?.retry, line?.candidates, line?.isBegun],
    ["silent", "resume", "taken", 0, true],
  );
  const { phase, isAborted } = line!.silence!;
  deepStrictEqual([phase, isAborted], ["events", true]);
});

test("the line of an upstream that broke off tells no silence", async () => {
  // Guards against a crash that the log shows as a silence.
  await using fixture = await createForwardFixture([
    (socket) => socket.resetAndDestroy(),
  ], { kind: "idempotent", isResumable: false });
  await fixture.call();
  const [line] = getFailedAttempts(fixture.log);
  deepStrictEqual([line?.kind, line?.silence], ["cut-off", undefined]);
});

test("a connection that isn't made in time is a silence while connecting", async () => {
  // Guards against a silent upstream that looks like one that isn't there.
  const failure = await Effect.runPromise(Effect.flip(openCall(
    createUpstreamCall({
      agent: new UnansweredAgent(),
      address: "127.0.0.1:9",
    }, withoutBody),
  )));
  const { kind, silence } = failure;
  deepStrictEqual([kind, silence?.phase], ["not-sent", "connect"]);
});

test("a body that stops is a silence of the body, which its last byte begins", async () => {
  // Guards against a slow body that the log shows as a silent upstream.
  const partly: Behaviour = (socket, { id }) =>
    socket.write(headWithLength(id, 8) + "half");
  await using fixture = await createForwardFixture([partly]);
  const [address] = fixture.upstreamAddresses;
  const trace = createAttemptTrace(systemClock);
  const response = await Effect.runPromise(openCall(
    createUpstreamCall({ agent: fixture.agent, address: address! }, {
      ...withoutBody,
      headers: ["Host", "model.example", "x-id", "part"],
      trace,
    }),
  ));
  const limits = {
    maxBytes: MAX_BODY_BYTES,
    timeoutMs: BODY_TIMEOUT_MS,
    memory: createHeldMemory(MAX_BODY_BYTES),
  };
  const { kind, silence } = await Effect.runPromise(
    Effect.flip(readResponseBody(response, limits)),
  );
  deepStrictEqual([kind, silence], [
    "silent",
    { phase: "body", limitMs: BODY_TIMEOUT_MS },
  ]);
  ok(trace.toLog(silence!).isAborted);
});

test("the end of a stream tells that its response was closed, and after which silence", async () => {
  // Guards against a cut response whose last line reads like any other failure.
  await using fixture = await createForwardFixture([sendsOneEvent], {
    kind: "stream",
    isResumable: true,
  });
  ok((await fixture.call()).isTruncated);
  const expected = ["may-have-run", 0, true, "events", true];
  deepStrictEqual(getEnd(fixture.log), expected);
});

test("the end of a request without a response tells its silence, and that nothing was closed", async () => {
  // Guards against a 504 that is counted among the cut responses.
  await using fixture = await createForwardFixture([isSilent], {
    kind: "idempotent",
    isResumable: false,
    timeoutMs: TIMEOUT_MS,
  });
  await fixture.call();
  const expected = ["may-have-run", 504, false, "head", true];
  deepStrictEqual(getEnd(fixture.log), expected);
});

test("the end of a stream that its deadline closes tells how long it had been silent", async () => {
  // Guards against a response cut without any attempt that failed in the log.
  await using fixture = await createForwardFixture([sendsOneEvent], {
    kind: "stream",
    isResumable: false,
    timeoutMs: TIMEOUT_MS,
  });
  ok((await fixture.call()).isTruncated);
  const expected = ["may-have-run", 0, true, undefined, true];
  deepStrictEqual(getEnd(fixture.log), expected);
});

test("the end of an answered request tells no silence", async () => {
  // Guards against whole responses among the cut ones.
  await using fixture = await createForwardFixture([
    (socket, { id }) => socket.write(answer(id, "done")),
  ], { kind: "idempotent", isResumable: false });
  await fixture.call();
  const expected = ["answered", 200, false, undefined, false];
  deepStrictEqual(getEnd(fixture.log), expected);
});

test("the line of a body that no connection proved tells how the connection went", async () => {
  // Guards against whole answers withheld for a proof that no figure counts.
  await using fixture = await createForwardFixture([
    (socket, { id, stopListening }) => {
      stopListening();
      socket.end(unframedHead(id) + "all of it");
    },
  ], { kind: "idempotent", isResumable: false });
  await fixture.call();
  const [line] = getFailedAttempts(fixture.log);
  deepStrictEqual([line?.kind, line?.contact], ["broken", "refused"]);
});
