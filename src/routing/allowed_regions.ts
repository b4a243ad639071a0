/**
 * The regions in which a request may be handled.
 *
 * @module
 */

/** Allowed regions; `undefined` if all are. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/**
 * Returns the regions that all lists allow. An empty list binds nothing; lists
 * that have no region in common allow none.
 */
export function intersectRegions(
  lists: readonly (readonly string[])[],
): AllowedRegions {
  const binding = lists.filter((list) => list.length > 0);
  const [first, ...others] = binding;
  if (first === undefined) return undefined;
  return new Set(
    first.filter((region) => others.every((list) => list.includes(region))),
  );
}
