import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { readTableOnce } from "./table_read.ts";
import { createTableReplica } from "./table_replica.ts";

test("an answer that is older than what is known proves nothing", async () => {
  // Guards against a stream that goes on by a read of an earlier state.
  const table = createTableReplica<string>();
  table.replace({ version: 50, rows: [] });
  const readAt = (version: number) =>
    Effect.runPromiseExit(readTableOnce({
      table,
      source: {
        read: () => Effect.succeed({ version, rows: [] }),
        pollChanges: () =>
          Effect.succeed({ version, changed: [], removed: [] }),
      },
    }));
  deepStrictEqual(
    [(await readAt(40))._tag, (await readAt(50))._tag],
    ["Failure", "Success"],
  );
});
