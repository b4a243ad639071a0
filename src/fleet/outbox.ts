/**
 * Batches the messages to each peer into one frame per flush, since the headers
 * of a packet are larger than most messages.
 *
 * @module
 */

import { create, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import { getOrCreate } from "../core/mod.ts";
import { type Frame, FrameSchema } from "../generated/peer_pb.ts";

/** The lists of a frame that the outbox fills. */
export type OutboxKind =
  | "slotRequests"
  | "grants"
  | "releases"
  | "recalls"
  | "keptUses"
  | "counterReports"
  | "counterViews";

type FrameInit = MessageInitShape<typeof FrameSchema>;
type Item<K extends OutboxKind> = NonNullable<FrameInit[K]>[number];
type Lists = { [K in OutboxKind]?: Item<K>[] };

/** Dependencies of the outbox. */
export interface OutboxHost {
  /** Sends over a link in either direction; returns false without one. */
  trySend(peer: string, frame: Frame): boolean;
  onControlSent(kind: OutboxKind, bytes: number, peer: string): void;
  /** Called with a frame that could not be sent. */
  onUndelivered(peer: string, frame: Frame): void;
}

/** Messages queued until the next flush. */
export interface Outbox {
  add<K extends OutboxKind>(peer: string, kind: K, item: Item<K>): void;
  flush(): void;
}

/** Creates an empty outbox. */
export function createOutbox(host: OutboxHost): Outbox {
  let pending = new Map<string, Lists>();

  function countBytes(peer: string, lists: Lists): void {
    for (const kind of Object.keys(lists) as OutboxKind[]) {
      const part = create(FrameSchema, { [kind]: lists[kind] });
      host.onControlSent(kind, toBinary(FrameSchema, part).length, peer);
    }
  }

  return {
    add(peer, kind, item) {
      const lists: Lists = getOrCreate(pending, peer, () => ({}));
      const list = (lists[kind] ?? []) as Item<typeof kind>[];
      list.push(item);
      (lists as Record<OutboxKind, unknown[]>)[kind] = list;
    },
    flush() {
      if (pending.size === 0) return;
      const sent = pending;
      pending = new Map();
      for (const [peer, lists] of sent) {
        const frame = create(FrameSchema, lists);
        if (host.trySend(peer, frame)) countBytes(peer, lists);
        else host.onUndelivered(peer, frame);
      }
    },
  };
}
