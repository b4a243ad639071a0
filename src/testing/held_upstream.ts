/**
 * An upstream whose connections are handed to the test, which sends the
 * response step by step and waits until the host has done its part of each.
 *
 * @module
 */

import type { Agent } from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Behaviour, ForwardFixture } from "./forward_fixture.ts";
import type { PipelinedResponses } from "./raw_callers.ts";
import { chunk } from "./raw_responses.ts";

/** An upstream that leaves all responses to the test. */
export interface HeldUpstream {
  readonly behaviour: Behaviour;
  /** Resolves to the connection on which the request with the id arrives. */
  waitForRequest(id: string): Promise<Socket>;
}

/** The end of a chunked body. */
export const CLOSING_CHUNK = "0\r\n\r\n";

/** Number and size, in bytes, of the pieces sent while the relay is paused. */
export const LAST_PIECES = 4;
const LAST_PIECE_BYTES = 100;

/** Longest time, in ms, that a step of the host may take. */
const STEP_TIMEOUT_MS = 3_000;

/**
 * Size of the pieces that fill the caller's connection, in bytes: small enough
 * for the host to read each at once.
 */
const FILLING_PIECE_BYTES = 10_000;

/** Creates an upstream that never responds by itself. */
export function createHeldUpstream(): HeldUpstream {
  const requests = new Map<string, Socket>();
  return {
    behaviour: (socket, { id }) => void requests.set(id, socket),
    async waitForRequest(id) {
      await waitUntil(() => requests.has(id), `request "${id}"`);
      return requests.get(id)!;
    },
  };
}

/** One event of a stream, of about the given size. */
export function createPiece(id: number, bytes: number): string {
  return `id: ${id}\ndata: ${"x".repeat(bytes)}\n\n`;
}

/** The first events of a stream, each of about the given size. */
export function createPieces(count: number, bytes: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => createPiece(at + 1, bytes));
}

/** Returns the number of complete events in a body. */
export function countPieces(body: string): number {
  return body.split("\n\n").length - 1;
}

/** For each response, whether it is complete and its number of events. */
export function summarize(
  { responses }: PipelinedResponses,
): readonly (readonly [boolean, number])[] {
  return responses.map((res) => [res.isComplete, countPieces(res.body)]);
}

/** Ends a chunked stream with a few small pieces. */
export function sendLastPieces(upstream: Socket): void {
  const pieces = createPieces(LAST_PIECES, LAST_PIECE_BYTES);
  upstream.write(pieces.map(chunk).join("") + CLOSING_CHUNK);
}

/**
 * Sends pieces until the host can pass on no more to the caller that has sent
 * its only request. Returns their number.
 */
export async function sendUntilPaused(
  fixture: ForwardFixture,
  upstream: Socket,
): Promise<number> {
  const res = fixture.responses[0]!;
  const { socket } = res.req;
  let sent = 0;
  while (!res.writableNeedDrain) {
    sent++;
    const passedOn = socket.bytesWritten + FILLING_PIECE_BYTES;
    upstream.write(chunk(createPiece(sent, FILLING_PIECE_BYTES)));
    await waitUntilRead(fixture.agent, upstream);
    await waitUntil(
      () => res.writableNeedDrain || socket.bytesWritten > passedOn,
      "piece at the caller's connection",
    );
  }
  return sent;
}

/** Waits until the host has read all that the upstream has written. */
export async function waitUntilRead(
  agent: Agent,
  upstream: Socket,
): Promise<void> {
  await waitUntil(
    () => findHostSocket(agent, upstream)?.bytesRead === upstream.bytesWritten,
    "read of all bytes",
  );
}

/** Resets the upstream's connection, and waits until the host has seen it. */
export async function resetAndWait(
  agent: Agent,
  upstream: Socket,
): Promise<void> {
  const hostSocket = findHostSocket(agent, upstream);
  upstream.resetAndDestroy();
  await waitUntil(() => hostSocket?.closed ?? true, "close after the reset");
}

/** Waits until the condition holds; rejects after a time-out. */
export async function waitUntil(
  condition: () => boolean,
  what: string,
): Promise<void> {
  const untilMs = performance.now() + STEP_TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > untilMs) {
      throw new Error(`No ${what} within ${STEP_TIMEOUT_MS} ms`);
    }
    await nextTurn();
  }
}

/** Finds the host's end of an upstream's connection. */
function findHostSocket(agent: Agent, upstream: Socket): Socket | undefined {
  const sockets = [agent.sockets, agent.freeSockets]
    .flatMap((each) => Object.values(each))
    .flatMap((each) => each ?? []);
  return sockets.find((each) => each.localPort === upstream.remotePort);
}
