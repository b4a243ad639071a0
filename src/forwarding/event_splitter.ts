/**
 * Splits the bytes of an event stream into complete events, so that a caller
 * never receives part of one. If an upstream breaks off in the middle of an
 * event, another upstream can then resume the stream and send that event
 * completely.
 *
 * The bytes of an incomplete event are held until its end arrives. Each byte is
 * searched and copied a constant number of times, and an event that does not
 * end is to be given up: see `isOversized`.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createGrowingBuffer } from "./growing_buffer.ts";
import { AttemptFailed } from "./types.ts";

/** One or more complete events, unchanged. */
export interface EventChunk {
  readonly bytes: Buffer;
  /** Id of the last event in the chunk that has an id. */
  readonly lastEventId: string | undefined;
}

/** Splits the bytes of one stream. */
export interface EventSplitter {
  /** Adds bytes; returns the events that are now complete, if any. */
  push(bytes: Buffer): EventChunk | undefined;
  /** Returns the bytes of the last, incomplete event. */
  getIncomplete(): Buffer;
  /** Whether the incomplete event is larger than any event may be. */
  isOversized(): boolean;
}

/**
 * Most bytes of an event that are held while it is incomplete. Events carry a
 * piece of text of some hundred bytes; one that holds a whole response may have
 * some hundred thousand.
 */
export const MAX_EVENT_BYTES = 1024 * 1024;

/**
 * An event ends with an empty line, with any line ending that the standard
 * allows.
 */
const EVENT_END = /\r\n\r\n|\n\n|\r\r/g;

/** Number of bytes of an event end that may have arrived before the last. */
const EVENT_END_OVERLAP = 3;

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  const pending = createGrowingBuffer();

  return {
    push(bytes) {
      // Latin-1 maps each byte to one character, so that offsets in text and
      // bytes agree.
      const before = getLastText(pending.getBytes());
      const text = before + bytes.toString("latin1");
      const end = getLastEventEnd(text) - before.length;
      if (end <= 0) {
        pending.append(bytes);
        return undefined;
      }
      const chunk = createChunk(pending.take(), bytes.subarray(0, end));
      if (end < bytes.length) pending.append(bytes.subarray(end));
      return chunk;
    },
    getIncomplete: pending.getBytes,
    isOversized: () => pending.getBytes().length > MAX_EVENT_BYTES,
  };
}

/** Creates the failure of a stream with an event that does not end. */
export function createOversizedError(): AttemptFailed {
  const reason = `An event is larger than ${MAX_EVENT_BYTES} bytes`;
  return new AttemptFailed({ kind: "broken", reason });
}

/** Returns the last bytes as text, in which an event end may have begun. */
function getLastText(held: Buffer): string {
  const at = Math.max(0, held.length - EVENT_END_OVERLAP);
  return held.toString("latin1", at);
}

function createChunk(held: Buffer, rest: Buffer): EventChunk {
  const bytes = held.length === 0 ? rest : Buffer.concat([held, rest]);
  return { bytes, lastEventId: getLastEventId(bytes.toString("latin1")) };
}

function getLastEventEnd(text: string): number {
  let end = 0;
  for (const match of text.matchAll(EVENT_END)) {
    end = match.index + match[0].length;
  }
  return end;
}

function getLastEventId(text: string): string | undefined {
  let id: string | undefined;
  for (const match of text.matchAll(/^id:[ ]?(.*?)\r?$/gm)) id = match[1];
  return id;
}
