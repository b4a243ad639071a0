/**
 * The gossiped facts by which hosts tell each other that an upstream is
 * leaving. They are needed because a host whose platform reads fail may be the
 * only one to which the upstream has announced it.
 *
 * @module
 */

import type { UpstreamInstance } from "../discovery/mod.ts";
import type { Fact } from "../membership/mod.ts";

/** Key prefix of these facts; the instance's incarnation and id follow. */
export const LEAVING_KEY_PREFIX = "upstream-leaving/";

/** Creates the fact that this instance of the upstream is leaving. */
export function createLeavingFact({ id, incarnation }: UpstreamInstance): Fact {
  return {
    key: `${LEAVING_KEY_PREFIX}${incarnation}/${id}`,
    version: 1,
    value: "",
  };
}

/** Parses a fact created by `createLeavingFact`. */
export function parseLeavingFact(fact: Fact): UpstreamInstance {
  const text = fact.key.slice(LEAVING_KEY_PREFIX.length);
  const slash = text.indexOf("/");
  return {
    id: text.slice(slash + 1),
    incarnation: Number(text.slice(0, slash)),
  };
}
