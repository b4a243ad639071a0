import { deepStrictEqual, ok } from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import fc from "fast-check";
import { createHybridClock, createManualClock } from "../core/mod.ts";
import { fromQuery, matchesFilter, toQuery } from "./filter.ts";
import { createLanesSvg, MAX_DRAWN_EVENTS } from "./lanes_svg.ts";
import { mergeEvents } from "./merge.ts";
import { createRecorder } from "./recorder.ts";
import { explainStory, findRequests, getRequestStory } from "./story.ts";
import type { EventBody, TimelineEvent } from "./types.ts";

const REQUEST = "5f0c3a52-0000-4000-8000-000000000001";
const OTHER = "5f0c3a52-0000-4000-8000-000000000002";

/** Makes hosts whose wall clocks differ by the given offsets. */
function createHosts(offsetsMs: readonly number[]) {
  return offsetsMs.map((offsetMs, index) => {
    const clock = createManualClock(1_767_225_600_000 + offsetMs);
    const hybridClock = createHybridClock(clock);
    const id = `entry-${index + 1}`;
    const recorder = createRecorder({ id, hybridClock }, 100);
    return { id, clock, hybridClock, recorder };
  });
}

function createDrainingEvent(reason: string): EventBody {
  return { kind: "host-draining", reason };
}

/** Records a request that waits, is shifted, fails once and then succeeds. */
function createRetriedRequest(): readonly TimelineEvent[] {
  const [entry, owner] = createHosts([0, 0]);
  const { recorder } = entry!;
  const team = "yaba-care-home";
  const step = (ms: number) => {
    entry!.clock.advance(ms);
    owner!.clock.advance(ms);
  };
  const grant = (upstream: string, counter: number) => {
    step(2);
    owner!.recorder.record({
      kind: "slot-granted",
      upstream,
      team,
      to: "entry-1",
      counter,
    });
    step(2);
    recorder.record({
      kind: "request-dispatched",
      request: REQUEST,
      team,
      upstream,
      waitedMs: 1204,
    });
  };
  recorder.record({
    kind: "request-admitted",
    request: REQUEST,
    team,
    service: "drafting-model",
    queued: 3,
  });
  recorder.record({
    kind: "request-refused",
    request: OTHER,
    team,
    reason: "queue-full",
    retryAfterMs: 2000,
  });
  step(1200);
  recorder.record({
    kind: "request-shifted",
    request: REQUEST,
    team,
    reason: "it waited 1200 ms while the other region has room",
  });
  grant("drafting-model-2", 41.25);
  step(30);
  owner!.recorder.record({
    kind: "limit-changed",
    upstream: "drafting-model-2",
    limit: 11,
    reason: "a run failed",
  });
  recorder.record({
    kind: "request-retried",
    request: REQUEST,
    team,
    upstream: "drafting-model-2",
    reason: "the connection was reset",
  });
  grant("drafting-model-3", 41.25);
  step(800);
  recorder.record({
    kind: "request-ended",
    request: REQUEST,
    team,
    outcome: "answered",
    cost: 96,
    reason: "",
  });
  return mergeEvents([recorder.getSince(0), owner!.recorder.getSince(0)]);
}

/**
 * The wall clocks of two hosts differ by seconds. In the order of wall time, a
 * grant would follow the dispatch that it allowed. Timestamps that are sent
 * with messages keep the causal order.
 */
test("an effect never precedes its cause, however the wall clocks differ", () => {
  const offsets = fc.array(fc.integer({ min: -60_000, max: 60_000 }), {
    minLength: 2,
    maxLength: 5,
  });
  const steps = fc.array(fc.tuple(fc.nat(), fc.nat(), fc.nat(50)), {
    maxLength: 60,
  });
  fc.assert(fc.property(offsets, steps, (offsetsMs, messages) => {
    const hosts = createHosts(offsetsMs);
    messages.forEach(([from, to, ms], index) => {
      const sender = hosts[from % hosts.length]!;
      const receiver = hosts[to % hosts.length]!;
      sender.recorder.record(createDrainingEvent(`sent ${index}`));
      receiver.hybridClock.receive(sender.hybridClock.tick());
      receiver.recorder.record(createDrainingEvent(`received ${index}`));
      sender.clock.advance(ms);
    });
    const lists = hosts.map((host) => host.recorder.getSince(0));
    const merged = mergeEvents([...lists, ...lists]);
    deepStrictEqual(merged.length, 2 * messages.length);
    const reasons = merged.map((event) => "reason" in event && event.reason);
    messages.forEach((_, index) => {
      const sent = reasons.indexOf(`sent ${index}`);
      ok(sent < reasons.indexOf(`received ${index}`));
    });
    for (const list of lists) {
      const own = merged.filter((event) => event.host === list[0]?.host);
      deepStrictEqual(own, [...list]);
    }
  }));
});

test("the receipt of a message follows its sending", () => {
  const [slow, fast] = createHosts([0, 5_000]);
  fast!.recorder.record(createDrainingEvent("cause"));
  slow!.hybridClock.receive(fast!.hybridClock.tick());
  slow!.recorder.record(createDrainingEvent("effect"));
  const merged = mergeEvents([
    slow!.recorder.getSince(0),
    fast!.recorder.getSince(0),
  ]);
  deepStrictEqual(merged.map((event) => event.host), ["entry-2", "entry-1"]);
});

test("a full recorder overwrites its oldest events and reports the loss", () => {
  const clock = createManualClock(1);
  const hybridClock = createHybridClock(clock);
  const recorder = createRecorder({ id: "entry-1", hybridClock }, 2);
  recorder.record(createDrainingEvent("one"));
  recorder.record(createDrainingEvent("two"));
  deepStrictEqual(recorder.getNewestLostStamp(), 0);
  recorder.record(createDrainingEvent("three"));
  const kept = recorder.getSince(0);
  deepStrictEqual(kept.length, 2);
  ok(
    recorder.getNewestLostStamp() > 0 &&
      recorder.getNewestLostStamp() < kept[0]!.at,
  );
});

test("a filter selects the same events after it is sent as a query", () => {
  const events = createRetriedRequest();
  const filters = [
    {},
    { request: REQUEST.slice(0, 8) },
    { request: OTHER },
    { upstream: "drafting-model-2" },
    { kinds: ["request-ended", "limit-changed"] },
    { host: "entry-2", team: "yaba-care-home" },
    { sinceMs: 1_767_225_601_000 },
    { untilMs: 1_767_225_601_000, after: events[0]!.at },
  ];
  const counts = filters.map((filter) => {
    const parsed = fromQuery(new URLSearchParams(toQuery(filter)));
    const local = events.filter((event) => matchesFilter(event, filter));
    const remote = events.filter((event) => matchesFilter(event, parsed));
    deepStrictEqual(remote, local);
    return local.length;
  });
  deepStrictEqual(counts, [10, 7, 1, 4, 2, 2, 8, 1]);
});

test("the explanation of a request matches the baseline", () => {
  const events = createRetriedRequest();
  deepStrictEqual(findRequests(events, "5f0c"), [REQUEST, OTHER]);
  const file = "../../src/testing/baselines/explain_retried_request.txt";
  const accepted = readFileSync(new URL(file, import.meta.url), "utf8");
  const lines = [REQUEST, OTHER].flatMap((id) => [
    ...explainStory(getRequestStory(events, id)),
    "",
  ]);
  deepStrictEqual(lines.join("\n"), accepted);
});

test("a dispatch without a grant during the request used a kept slot", () => {
  const events = createRetriedRequest().filter((event) =>
    event.kind !== "slot-granted" || event.upstream !== "drafting-model-3"
  );
  const text = explainStory(getRequestStory(events, REQUEST)).join("\n");
  deepStrictEqual(text.split("which the host had kept").length, 2);
  ok(/drafting-model-3 after .*, which the host had kept/.test(text));
});

test("a picture has a lane for each process and a line for each event", () => {
  const events = createRetriedRequest();
  const svg = createLanesSvg(events, "a <b> & c");
  for (const lane of ["entry-1", "entry-2", "drafting-model-3"]) {
    deepStrictEqual(svg.split(`>${lane}</text>`).length, 2, lane);
  }
  deepStrictEqual(svg.split("<circle").length - 1, events.length);
  ok(svg.includes("a &lt;b&gt; &amp; c"));
  const many = Array.from({ length: MAX_DRAWN_EVENTS + 5 }, () => events[0]!);
  ok(createLanesSvg(many, "").includes("5 later events are left out"));
});
