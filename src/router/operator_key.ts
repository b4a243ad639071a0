/**
 * Authenticates operators by their keys. Only digests of keys are stored; they
 * are compared in constant time.
 *
 * @module
 */

import { getDigest, isEqualInConstantTime } from "../core/mod.ts";

/** Operators and teams with the digests of their keys. */
export interface KeyHolders {
  readonly operators: readonly {
    readonly name: string;
    readonly keyDigest: string;
  }[];
  readonly teams: readonly { readonly keyDigest: string }[];
}

const SCHEME = "Bearer ";

/**
 * Returns the name of the operator whose key is in the header. A key that
 * belongs to a team is never accepted as an operator's. Failure prevented: the
 * configuration lists an operator's digest as the key of a team, and a host
 * whose settings do not contain this operator accepts that configuration; every
 * caller of the team could then apply configurations.
 */
export function tryGetOperator(
  authorization: string | undefined,
  holders: KeyHolders,
): string | undefined {
  if (!authorization?.startsWith(SCHEME)) return undefined;
  const digest = getDigest(authorization.slice(SCHEME.length));
  const hasKey = (each: { readonly keyDigest: string }) =>
    isEqualInConstantTime(each.keyDigest, digest);
  if (holders.teams.some(hasKey)) return undefined;
  return holders.operators.find(hasKey)?.name;
}
