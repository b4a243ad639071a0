/**
 * Splits the bytes of an event stream into complete events, so that a caller
 * never receives part of one. If an upstream breaks off in the middle of an
 * event, another upstream can then resume the stream and send that event
 * completely.
 *
 * @module
 */

import { Buffer } from "node:buffer";

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
}

/**
 * An event ends with an empty line, with any line ending that the standard
 * allows.
 */
const EVENT_END = /\r\n\r\n|\n\n|\r\r/g;

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);

  return {
    push(bytes) {
      const all = pending.length === 0
        ? bytes
        : Buffer.concat([pending, bytes]);
      // Latin-1 maps each byte to one character, so that offsets in text and
      // bytes agree.
      const text = all.toString("latin1");
      const end = getLastEventEnd(text);
      pending = all.subarray(end);
      if (end === 0) return undefined;
      const complete = text.slice(0, end);
      return {
        bytes: all.subarray(0, end),
        lastEventId: getLastEventId(complete),
      };
    },
    getIncomplete: () => pending,
  };
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
