/**
 * Determines the next order for an upstream by comparing the operators'
 * declaration with the state that the upstream reports. Properties that are not
 * declared are left unchanged.
 *
 * A new model is loaded before the old one is unloaded. The old model serves
 * requests while the new one loads, so that no capacity is idle during the
 * change.
 *
 * Load: 600 engines whose model changes by one configuration edit. Failure
 * prevented: an engine receives an order again while it is executing it, or is
 * left without a model.
 *
 * @module
 */

import type { Upstream } from "../types.ts";
import type { UpstreamState } from "../upstreams/mod.ts";
import type { Order } from "./types.ts";

/** Returns the next order, or `undefined` if none is needed or possible now. */
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
