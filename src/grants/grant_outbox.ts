/**
 * Batches the items of grants by receiver, and combines it to
 * messages that fit into a datagram.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { GrantItem, GrantMessage } from "./types.ts";

/** A message with the peer address of its receiver. */
export interface OutgoingGrantMessage {
  readonly to: string;
  readonly message: GrantMessage;
}

/** Items that have not been sent. */
export interface GrantOutbox {
  /** Adds an item in the session of the requester, which is either side. */
  add(to: string, session: number, item: GrantItem): void;
  /** Removes all items and returns them as messages. */
  takeMessages(): readonly OutgoingGrantMessage[];
}

/**
 * Maximum size of the items of a message, in bytes. With the session, the heads
 * of the lists and the MAC, the payload stays below 1,100 bytes.
 */
const MAX_ITEM_BYTES = 1_024;

/** Upper bounds of the sizes of items, in bytes. */
const ITEM_BYTES: Readonly<Record<GrantItem["kind"], number>> = {
  request: 32,
  start: 18,
  release: 5,
  grant: 5,
  waiting: 5,
};

interface Pending {
  readonly to: string;
  readonly session: number;
  readonly items: GrantItem[];
}

/** Creates an empty outbox. */
export function createGrantOutbox(): GrantOutbox {
  const pending = new Map<string, Pending>();

  function split({ to, session, items }: Pending): OutgoingGrantMessage[] {
    const parts: GrantItem[][] = [];
    let bytes = Infinity;
    for (const item of items) {
      bytes += ITEM_BYTES[item.kind];
      if (bytes > MAX_ITEM_BYTES) {
        parts.push([]);
        bytes = ITEM_BYTES[item.kind];
      }
      parts.at(-1)!.push(item);
    }
    return parts.map((each) => ({ to, message: { session, items: each } }));
  }

  return {
    add(to, session, item) {
      const { items } = getOrCreate(
        pending,
        `${to}/${session}`,
        () => ({ to, session, items: [] }),
      );
      items.push(item);
    },
    takeMessages() {
      const messages = [...pending.values()].flatMap(split);
      pending.clear();
      return messages;
    },
  };
}
