/**
 * Numbered events of streams, and upstreams that pause between them.
 *
 * @module
 */

import type { Behaviour } from "./forward_fixture.ts";
import { chunk, streamHead } from "./raw_responses.ts";

/** The end of a stream with chunked transfer encoding. */
export const STREAM_END = "0\r\n\r\n";

/** One event, as a chunk of a response body. */
export function createEvent(id: number): string {
  return chunk(createEventTexts(id));
}

/** The events with these ids as the caller receives them. */
export function createEventTexts(...ids: readonly number[]): string {
  return ids.map((id) => `id: ${id}\ndata: ${id}\n\n`).join("");
}

/** Sends two events and nothing more. */
export const stopAfterTwoEvents: Behaviour = (socket, { id }) =>
  socket.write(streamHead(id) + createEvent(1) + createEvent(2));

/** Sends two events, nothing for a time, in ms, and then the third. */
export function createPause(silenceMs: number): Behaviour {
  return (socket, req) => {
    stopAfterTwoEvents(socket, req);
    setTimeout(() => socket.write(createEvent(3) + STREAM_END), silenceMs);
  };
}
