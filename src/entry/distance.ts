/**
 * How far the data centres are from this host.
 *
 * @module
 */

import type { Distance } from "../placement/mod.ts";
import type { EntrySettings } from "./types.ts";

/** Returns the distance from the host with these settings. */
export function getDistance(
  settings: Pick<EntrySettings, "dataCentre" | "regions">,
  dataCentre: string,
): Distance {
  if (dataCentre === settings.dataCentre) return "same-data-centre";
  const { regions } = settings;
  const isSameRegion =
    regions.get(dataCentre) === regions.get(settings.dataCentre);
  return isSameRegion ? "same-region" : "other-region";
}
