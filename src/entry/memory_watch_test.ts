import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createMemoryWatch, type MemoryState } from "./memory_watch.ts";

test("a host near its memory's limit logs it once, each further rise, and the end", () => {
  // Guards against processes that are killed for their memory without a trace.
  const clock = createManualClock(1_000);
  const states: MemoryState[] = [];
  let residentBytes = 0;
  const watch = createMemoryWatch({
    clock,
    limitBytes: 350e6,
    tryReadResidentBytes: () => residentBytes,
    tryReadMemory: () => ({
      residentBytes,
      heapUsed: 1,
      external: 2,
      arrayBuffers: 3,
    }),
    getHeld: () => ({
      requestBytes: 4,
      responseBytes: 5,
      connections: 6,
      inFlight: 7,
    }),
    onChanged: (state) => void states.push(state),
  });
  for (const megabytes of [200, 262, 263, 265, 268, 290, 280, 240, 230, 263]) {
    residentBytes = megabytes * 1e6;
    watch.tick();
    clock.advance(1_000);
  }
  deepStrictEqual(
    states.map((each) => [each.residentBytes / 1e6, each.isHigh]),
    [[263, true], [290, true], [230, false], [263, true]],
  );
});
