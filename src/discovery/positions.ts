/**
 * Places in the platform's history. The platform may come back from an older copy
 * of itself; then its versions go back and are given out again, and its era is the
 * next. So a version alone is no order: the era counts first.
 *
 * @module
 */

/** A place in the platform's history. */
export interface TablePosition {
  /** Absent where the platform named none. */
  readonly era?: number | undefined;
  /** Within the era, the number of the newest change. */
  readonly version: number;
}

/** The place of a table never seen. */
export const NO_POSITION: TablePosition = { version: 0 };

/** Whether versions of both can be compared; an unnamed era is any other's. */
export function isSameEra(a: TablePosition, b: TablePosition): boolean {
  return a.era === undefined || b.era === undefined || a.era === b.era;
}

/** Whether the first comes after the second. */
export function isNewer(a: TablePosition, b: TablePosition): boolean {
  return isSameEra(a, b) ? a.version > b.version : isLaterEra(a, b);
}

/** Whether the platform has come back from a copy between the second and the first. */
export function isLaterEra(a: TablePosition, b: TablePosition): boolean {
  return !isSameEra(a, b) && a.era! > b.era!;
}
