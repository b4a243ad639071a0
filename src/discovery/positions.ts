/**
 * Positions in the platform's change history. The platform may be restored from
 * an older backup. Its version counter then goes back and the same version
 * numbers are assigned again, while its era number increases. Positions are
 * therefore ordered by era first and by version second.
 *
 * @module
 */

/** A position in the platform's change history. */
export interface TablePosition {
  /** Absent if the platform did not send an era. */
  readonly era?: number | undefined;
  /** Number of the newest change within the era. */
  readonly version: number;
}

/** Position of a table that has not been read yet. */
export const NO_POSITION: TablePosition = { version: 0 };

/**
 * Whether the versions of both positions are comparable. A position without an
 * era is comparable to any other.
 */
export function isSameEra(a: TablePosition, b: TablePosition): boolean {
  return a.era === undefined || b.era === undefined || a.era === b.era;
}

/** Whether `a` is newer than `b`. */
export function isNewer(a: TablePosition, b: TablePosition): boolean {
  return isSameEra(a, b) ? a.version > b.version : isLaterEra(a, b);
}

/** Whether the platform was restored from a backup between `b` and `a`. */
export function isLaterEra(a: TablePosition, b: TablePosition): boolean {
  return !isSameEra(a, b) && a.era! > b.era!;
}
