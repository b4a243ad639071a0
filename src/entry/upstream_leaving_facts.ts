/**
 * How hosts tell each other that an upstream leaves. A host that the platform
 * turns away may be the only one that the upstream has told.
 *
 * @module
 */

import type { UpstreamInstance } from "../discovery/mod.ts";
import type { Fact } from "../membership/mod.ts";

/** Key prefix of these facts; behind it stand incarnation and id. */
export const LEAVING_KEY_PREFIX = "upstream-leaving/";

/** The fact that this start of the upstream leaves. */
export function createLeavingFact({ id, incarnation }: UpstreamInstance): Fact {
  return {
    key: `${LEAVING_KEY_PREFIX}${incarnation}/${id}`,
    version: 1,
    value: "",
  };
}

/** Reads what `createLeavingFact` has made. */
export function parseLeavingFact(fact: Fact): UpstreamInstance {
  const text = fact.key.slice(LEAVING_KEY_PREFIX.length);
  const slash = text.indexOf("/");
  return {
    id: text.slice(slash + 1),
    incarnation: Number(text.slice(0, slash)),
  };
}
