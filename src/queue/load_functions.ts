/**
 * What a prompt queue asks of the load view about teams, as one set of functions.
 *
 * @module
 */

import type { LoadView } from "../load/mod.ts";
import type { PromptQueueHost } from "./types.ts";

/** The functions of a queue's host that the load view answers. */
export type LoadFunctions = Pick<
  PromptQueueHost,
  | "getShareUsed"
  | "getServiceLevel"
  | "getServiceRates"
  | "getCoverage"
  | "isOverserved"
  | "isUnderserved"
  | "onWaiting"
  | "getMeanEfficiency"
>;

/** Returns the functions of a view. */
export function getLoadFunctions(view: LoadView): LoadFunctions {
  return {
    getShareUsed: view.getShareUsed,
    getServiceLevel: view.getServiceLevel,
    getServiceRates: view.getServiceRates,
    getCoverage: view.getCoverage,
    isOverserved: view.isOverserved,
    isUnderserved: view.isUnderserved,
    onWaiting: view.setWaiting,
    getMeanEfficiency: view.getMeanEfficiency,
  };
}
