/**
 * Cuts the bytes of an event stream into whole events, so that a caller never
 * gets half of one: an upstream that breaks off in the middle of an event can
 * then be followed by another that sends that event whole.
 *
 * @module
 */

import { Buffer } from "node:buffer";

/** Whole events, as they came. */
export interface EventChunk {
  readonly bytes: Buffer;
  /** Id of the last event in it that has one. */
  readonly lastEventId: string | undefined;
}

/** The events of one stream. */
export interface EventSplitter {
  /** Takes in bytes; gives the events that are whole now, if any. */
  push(bytes: Buffer): EventChunk | undefined;
  /** Bytes of an event that is not whole. */
  getIncomplete(): Buffer;
}

/** An event ends with an empty line, in any of the standard's line ends. */
const EVENT_END = /\r\n\r\n|\n\n|\r\r/g;

/** Makes the frames of a stream of which nothing has come. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);

  return {
    push(bytes) {
      const all = pending.length === 0
        ? bytes
        : Buffer.concat([pending, bytes]);
      // Bytes and characters are the same in latin1, so positions are too.
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
