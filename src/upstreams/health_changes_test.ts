import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { type HealthChange, MAX_REPORTS_PER_SECOND } from "./health_changes.ts";
import { createHealthWatch } from "./health_watch.ts";

/** Times after which an upstream surely counts as silent, and as sound, in ms. */
const SILENT_MS = 1_600;
const RECOVERED_MS = 10_000;

function createFixture() {
  const clock = createManualClock(10_000);
  const changes: HealthChange[] = [];
  const health = createHealthWatch(clock, (change) => changes.push(change));
  return {
    clock,
    health,
    changes,
    describe: () =>
      changes.map((each) => [each.isHealthy, each.because, each.lastedMs]),
  };
}

test("a silence that makes an upstream unhealthy is reported, and so is its end", () => {
  // Guards against requests that go elsewhere with nothing that says why.
  const { clock, health, changes, describe } = createFixture();
  health.beginRequest("one");
  clock.advance(SILENT_MS);
  strictEqual(health.isUnhealthy("one"), true);
  strictEqual(health.isUnhealthy("one"), true);
  clock.advance(300);
  health.recordActivity("one");
  deepStrictEqual(describe(), [
    [false, "silent", undefined],
    [true, "silent", 300],
  ]);
  const { inFlight, silentMs, failureShare } = changes[0]!;
  deepStrictEqual([inFlight, silentMs, failureShare], [1, SILENT_MS, 0]);
});

test("a connection that fails is reported at once, and its end when the upstream is asked about", () => {
  // Guards against a refused connection that looks like a silence.
  const { clock, health, describe } = createFixture();
  health.recordFailure("one", "unreachable");
  deepStrictEqual(describe(), [[false, "unreachable", undefined]]);
  clock.advance(RECOVERED_MS);
  health.filterHealthy([{ id: "one" }]);
  deepStrictEqual(describe()[1], [true, "unreachable", RECOVERED_MS]);
});

test("failures of requests are reported with their share", () => {
  // Guards against an upstream that is left alone for failures that no line shows.
  const { health, changes } = createFixture();
  for (let failed = 0; failed < 2; failed++) {
    health.recordFailure("one", "failed");
  }
  const [change] = changes;
  deepStrictEqual([change?.because, change?.isHealthy], ["failures", false]);
  strictEqual(Number(change?.failureShare.toFixed(3)), 0.36);
});

test("a lost data centre is reported up to a limit per second, and the rest later", () => {
  // Guards against a log that a failure of many upstreams floods.
  const { clock, health, changes } = createFixture();
  const ids = Array.from({ length: 25 }, (_, at) => `up-${at}`);
  for (const id of ids) health.recordFailure(id, "unreachable");
  strictEqual(changes.length, MAX_REPORTS_PER_SECOND);
  clock.advance(999);
  for (const id of ids) health.isUnhealthy(id);
  strictEqual(changes.length, MAX_REPORTS_PER_SECOND);
  for (const id of ids) health.recordFailure(id, "unreachable");
  clock.advance(1);
  for (const id of ids) health.isUnhealthy(id);
  strictEqual(changes.length, 2 * MAX_REPORTS_PER_SECOND);
  const starts = changes.filter((each) => !each.isHealthy);
  strictEqual(new Set(starts.map((each) => each.upstream)).size, 20);
});
