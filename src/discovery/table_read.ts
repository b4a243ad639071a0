/**
 * Brings the replica of a table up to what the platform has now, by one read
 * that begins when it is called. The replica may be followed at the same time.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { isSameEra } from "./positions.ts";
import { checkEra, type TableFollowerHost } from "./table_follower.ts";
import { failUnreachable, type TableError } from "./types.ts";

/** What is read, and the replica that takes it up. */
export type TableReadHost<T> = Pick<TableFollowerHost<T>, "source" | "table">;

/**
 * Reads the changes since the replica's position, or all rows where the platform
 * no longer has them. Returns whether the replica's rows changed.
 */
export function readTableOnce<T>(
  { source, table }: TableReadHost<T>,
): Effect.Effect<boolean, TableError> {
  const readAll = source.read().pipe(
    Effect.map((snapshot) => table.replace(snapshot)),
  );

  const readChanges = Effect.suspend(() => {
    const requested = table.getPosition();
    return source.pollChanges(requested.version, 0).pipe(
      Effect.flatMap((change) => checkEra(change, requested)),
      Effect.flatMap((change) =>
        change.version < requested.version
          ? failUnreachable("The platform answered with an older state")
          : Effect.succeed(change)
      ),
      Effect.flatMap((change) => {
        if (isSameEra(change, table.getPosition())) {
          return Effect.succeed(table.apply(change));
        }
        return failUnreachable(
          "Another host's copy of another era came meanwhile",
        );
      }),
    );
  });

  return Effect.suspend(() =>
    table.getPosition().version === 0 ? readAll : readChanges
  ).pipe(
    Effect.catchTag(
      "TableError",
      (err) => err.kind === "history-lost" ? readAll : Effect.fail(err),
    ),
  );
}
