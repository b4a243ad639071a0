import { ok } from "node:assert";
import { test } from "node:test";
import { createEntryMetrics } from "./metrics.ts";

/** Length at which a collector may cut a scrape, in bytes. */
const CUT_BYTES = 4_096;

test("a scrape that is cut still has the decisions of a host with many routes", async () => {
  // Guards against counters of decisions that are cut off behind those of the
  // routes.
  const metrics = createEntryMetrics({
    getConfigVersion: () => 1,
    getQueued: () => 0,
    countInFlight: () => 0,
    countAliveHosts: () => 1,
    countEvacuated: () => 2,
    countColdUpstreams: () => 3,
    getUnreadMs: () => 0,
    getReadingLimits: () => [],
    isReady: () => true,
  });
  for (let route = 0; route < 40; route++) {
    metrics.observeEnd({
      route: `route-${route}`,
      outcome: "answered",
      status: 200,
      totalMs: 10,
      firstEventMs: 5,
    });
  }
  metrics.observeDecision({ event: "log-lines-dropped", lines: 1 });
  const scrape = await metrics.render();
  ok(scrape.slice(0, CUT_BYTES).includes('event="log-lines-dropped"'));
});
