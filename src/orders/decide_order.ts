/**
 * Which order an upstream needs next, from what operators declared and what it
 * says of itself. What they do not declare is left alone.
 *
 * A new model is loaded beside the old one, which serves until then; only then
 * the old one is unloaded, so that no capacity idles during a change of model.
 *
 * Load: 600 engines whose model changes by one edit. Harm prevented: an engine
 * that is told the same again while it works on it, or that has no model.
 *
 * @module
 */

import type { Upstream } from "../types.ts";
import type { UpstreamState } from "../upstreams/mod.ts";
import type { Order } from "./types.ts";

/** The next order, or `undefined` when there is none to give now. */
export function tryGetNextOrder(
  declared: Upstream,
  state: UpstreamState,
): Order | undefined {
  if (state.leaving || state.workingOn !== "") return undefined;
  if (declared.role !== undefined && declared.role !== state.role) {
    return { kind: "role", role: declared.role };
  }
  const { model } = declared;
  if (model === undefined || state.models === undefined) return undefined;
  if (!state.models.includes(model)) return { kind: "load", model };
  const old = state.models.find((each) => each !== model);
  return old === undefined ? undefined : { kind: "unload", model: old };
}
