/**
 * Splits a frame into its messages and dispatches each to its handler.
 *
 * @module
 */

import {
  type CounterReport,
  type CounterView,
  type Frame,
  SlotResult as WireResult,
} from "../generated/peer_pb.ts";
import type {
  Grant,
  KeptUses,
  Recall,
  Release,
  SlotRequest,
  SlotResult,
} from "../slots/mod.ts";

/** Handlers of the messages in a frame. */
export interface FrameHandlers {
  onSlotRequest(from: string, req: SlotRequest): void;
  onRelease(from: string, release: Release): void;
  onKeptUses(from: string, uses: KeptUses): void;
  onGrant(from: string, grant: Grant): void;
  onRecall(from: string, recall: Recall): void;
  onReport(from: string, report: CounterReport): void;
  onView(from: string, view: CounterView): void;
}

/**
 * Dispatches the messages of a frame. Releases come first, since a request in
 * the same frame may get a slot that one of them frees.
 */
export function receiveFrame(
  from: string,
  frame: Frame,
  handlers: FrameHandlers,
): void {
  for (const release of frame.releases) {
    const result = fromWireResult(release.result);
    handlers.onRelease(from, { ...release, result });
  }
  for (const { upstream, slots, ...lists } of frame.keptUses) {
    const uses = slots.map((slot, at) => ({
      slot,
      firstByteMs: lists.firstByteMs[at] ?? 0,
      tokenIntervalMs: lists.tokenIntervalMs[at] ?? 0,
    }));
    handlers.onKeptUses(from, { upstream, uses });
  }
  for (const req of frame.slotRequests) handlers.onSlotRequest(from, req);
  for (const grant of frame.grants) handlers.onGrant(from, grant);
  for (const recall of frame.recalls) handlers.onRecall(from, recall);
  for (const report of frame.counterReports) handlers.onReport(from, report);
  for (const view of frame.counterViews) handlers.onView(from, view);
}

/** Encodes the result of a slot's use. */
export function toWireResult(result: SlotResult): WireResult {
  switch (result) {
    case "answered":
      return WireResult.ANSWERED;
    case "failed":
      return WireResult.FAILED;
    case "unused":
      return WireResult.UNUSED;
  }
}

/**
 * Decodes the result of a slot's use. An unknown value, sent by a newer program
 * version, counts as failed.
 */
function fromWireResult(result: WireResult): SlotResult {
  if (result === WireResult.ANSWERED) return "answered";
  return result === WireResult.UNUSED ? "unused" : "failed";
}
