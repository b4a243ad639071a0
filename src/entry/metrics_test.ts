import { deepStrictEqual, ok } from "node:assert";
import { test } from "node:test";
import type { Decision, LoggedBody } from "../diagnostics/mod.ts";
import { createEntryMetrics } from "./metrics.ts";
import type {
  EntryMetrics,
  MetricsHost,
  ReadingLimit,
} from "./metrics_types.ts";

/** Length at which a collector may cut a scrape, in bytes. */
const CUT_BYTES = 4_096;

function createMetrics(changes: Partial<MetricsHost> = {}): EntryMetrics {
  return createEntryMetrics({
    getConfigVersion: () => 1,
    getQueued: () => 0,
    countInFlight: () => 0,
    countAliveHosts: () => 1,
    getLoadCoverage: () => ({ hosts: 1, ageMs: 0 }),
    countEvacuated: () => 2,
    countColdUpstreams: () => 3,
    getUnreadMs: () => 0,
    getReadingLimits: () => [],
    getUpstreamWeights: () => [],
    countHandoffs: () => 0,
    countPrefixes: () => 0,
    countGrantRequests: () => 0,
    countConnections: () => 0,
    memoryLimitBytes: 350e6,
    tryReadMemory: () => ({
      residentBytes: 100e6,
      heapUsed: 20e6,
      external: 5e6,
      arrayBuffers: 1e6,
    }),
    getHeld: () => ({ requestBytes: 0, responseBytes: 0 }),
    isReady: () => true,
    ...changes,
  });
}

type EndedRequest = Extract<Decision, { readonly event: "request-ended" }>;
type FailedAttempt = Extract<Decision, { readonly event: "attempt-failed" }>;

/** An attempt that failed, and the request with it. */
function createFailure(changes: Partial<FailedAttempt>): Decision {
  return {
    event: "attempt-failed",
    request: "r-1",
    upstream: "i-1",
    attempt: 1,
    kind: "silent",
    reason: "No event within 1600 ms",
    next: "give-up",
    because: "No other upstream accepts requests",
    candidates: 0,
    retry: "not-asked",
    remainingMs: 2_000,
    isBegun: true,
    contact: undefined,
    silence: undefined,
    fingerprint: undefined,
    parts: undefined,
    sinceFirstEventMs: undefined,
    body: undefined,
    ...changes,
  };
}

/** The end of a request whose upstream's response had this body. */
function createEnd(
  body: LoggedBody,
  changes: Partial<EndedRequest> = {},
): Decision {
  return {
    event: "request-ended",
    request: "r-1",
    team: "calm",
    route: "route-1",
    outcome: "answered",
    status: 200,
    isCut: false,
    reason: "The upstream's response was relayed",
    upstream: "i-1",
    attempts: 1,
    silentPhase: undefined,
    silentMs: undefined,
    sinceAttemptMs: 5,
    totalMs: 10,
    firstEventMs: 5,
    chunks: 3,
    longestPauseMs: 2,
    eventVersions: undefined,
    resumes: undefined,
    retryAfterMs: undefined,
    queue: undefined,
    body,
    inputs: { configVersion: 1, upstreamsVersion: 1, confirmedMsAgo: 0 },
    ...changes,
  };
}

const wholeBody: LoggedBody = {
  framing: "chunked",
  announcedBytes: undefined,
  receivedBytes: 900,
  readBytes: 900,
  unreadBytes: 0,
  relayedBytes: 900,
  isEndReceived: true,
  pausedMs: 0,
  connection: "kept",
  code: undefined,
};

test("streams that callers take up are counted by who knew their version", async () => {
  const metrics = createMetrics();
  const common = {
    request: "r-2",
    resumes: "r-1",
    tookMs: 3,
    asked: 3,
    answered: 1,
    inputs: { configVersion: 1, upstreamsVersion: 1, confirmedMsAgo: 0 },
  };
  const found = { event: "stream-version-found", version: "v1" } as const;
  metrics.observeDecision({ ...found, ...common, from: "keeper" });
  metrics.observeDecision({ ...found, ...common, from: "own" });
  metrics.observeDecision({
    event: "stream-version-unknown",
    ...common,
    versions: 2,
  });
  const text = await metrics.render();
  for (const from of ["keeper", "own", "nobody"]) {
    ok(text.includes(`azurestile_stream_versions_total{from="${from}"} 1`));
  }
});

test("response bodies are counted by framing and connection, and what was lost unread", async () => {
  // Guards against losses that only the log of a single request shows.
  const metrics = createMetrics();
  const lost: LoggedBody = {
    ...wholeBody,
    readBytes: 800,
    unreadBytes: 100,
    connection: "failed",
    code: "ECONNRESET",
  };
  const cutShort: LoggedBody = { ...lost, isEndReceived: false };
  for (const body of [wholeBody, lost, lost, cutShort]) {
    metrics.observeDecision(createEnd(body));
  }
  const scrape = await metrics.render();
  const labels = (connection: string) =>
    `{framing="chunked",connection="${connection}"}`;
  for (
    const line of [
      `azurestile_response_bodies_total${labels("kept")} 1`,
      `azurestile_response_bodies_total${labels("failed")} 3`,
      'azurestile_response_bodies_unread_total{connection="failed"} 2',
    ]
  ) {
    ok(scrape.includes(`${line}\n`), line);
  }
});

test("silences and what they cut are counted by phase, and unproven bodies by the connection's result", async () => {
  // Guards against answers lost to silences, which only single requests show.
  const metrics = createMetrics();
  const silence = { silentMs: 1_602, limitMs: 1_600, isAborted: false };
  const goesOn: Decision = {
    event: "attempt-silent",
    request: "request-1",
    upstream: "up-0",
    attempt: 1,
    silence: { ...silence, phase: "events" },
    next: "wait",
    because: "No other upstream accepts requests",
    candidates: 0,
    remainingMs: 2_389,
    isBegun: true,
  };
  const cut = { isCut: true, status: 0, outcome: "may-have-run" } as const;
  for (
    const decision of [
      goesOn,
      createFailure({ silence: { ...silence, phase: "events" } }),
      createFailure({
        silence: { ...silence, phase: "connect" },
        next: "another-upstream",
      }),
      createFailure({ kind: "broken", contact: "no-answer" }),
      createEnd(wholeBody),
      createEnd(wholeBody, { silentPhase: "head" }),
      createEnd(wholeBody, { ...cut, silentPhase: "events" }),
      createEnd(wholeBody, cut),
    ]
  ) metrics.observeDecision(decision);
  const scrape = await metrics.render();
  const lines = scrape.split("\n").filter((line) =>
    /^azurestile_(attempts_silent|responses_cut|response_bodies_unproven)/
      .test(line)
  );
  deepStrictEqual(lines.toSorted(), [
    'azurestile_attempts_silent_total{phase="connect",next="another-upstream"} 1',
    'azurestile_attempts_silent_total{phase="events",next="give-up"} 1',
    'azurestile_attempts_silent_total{phase="events",next="wait"} 1',
    'azurestile_response_bodies_unproven_total{contact="no-answer"} 1',
    'azurestile_responses_cut_total{silent_phase="events"} 1',
    'azurestile_responses_cut_total{silent_phase="none"} 1',
  ]);
});

test("a scrape that is cut still has the decisions of a host with many routes", async () => {
  // Guards against counters of decisions that are cut off behind those of the
  // routes.
  const metrics = createMetrics();
  for (let route = 0; route < 40; route++) {
    metrics.observeEnd({
      route: `route-${route}`,
      outcome: "answered",
      status: 200,
      totalMs: 10,
      firstEventMs: 5,
      refusedAfterMs: undefined,
    });
  }
  metrics.observeDecision({ event: "log-lines-dropped", lines: 1 });
  metrics.observeDecision(createEnd(wholeBody));
  const cut = (await metrics.render()).slice(0, CUT_BYTES);
  ok(cut.includes('event="log-lines-dropped"'));
  ok(cut.includes('framing="chunked",connection="kept"'));
});

test("prompts whose upstreams fetch the prefix are counted by reason", async () => {
  const metrics = createMetrics();
  const event = "attempt-started";
  const fetch = { event, fetchFrom: "i-1", fetchReason: "copy" } as Decision;
  metrics.observeDecision(fetch);
  // No source was left for this one.
  metrics.observeDecision({ ...fetch, fetchFrom: undefined } as Decision);
  metrics.observePlacement("peer");
  const text = await metrics.render();
  ok(text.includes('azurestile_prefix_fetches_total{reason="copy"} 1\n'));
  ok(text.includes('prefix_placements_total{source="peer"} 1\n'));
});

test("prompts that take room while other teams are refused show in the metrics", async () => {
  const metrics = createMetrics();
  const room = { standing: "overserved" };
  metrics.observeDecision({ event: "attempt-started", room } as Decision);
  metrics.observeDecision({
    event: "request-ended",
    queue: { standing: "underserved" },
  } as Decision);
  const text = await metrics.render();
  const name = "azurestile_prompts_decided_total";
  ok(text.includes(`${name}{outcome="started",standing="overserved"} 1\n`));
  ok(text.includes(`${name}{outcome="refused",standing="underserved"} 1\n`));
});

test("a host whose view covers part of the fleet shows in the metrics", async () => {
  const metrics = createMetrics({
    getLoadCoverage: () => ({ hosts: 3, ageMs: 1_250 }),
  });
  const text = await metrics.render();
  ok(text.includes("azurestile_load_hosts 3\n"));
  ok(text.includes("azurestile_load_age_seconds 1.25\n"));
});

test("limits and weights of upstreams that no longer differ disappear", async () => {
  // Guards against series that keep their last value after a fleet has shrunk
  // to the limit of the service, or after an upstream has left.
  let limits: readonly ReadingLimit[] = [
    { service: "chat", rank: "lowest", tokens: 5_600 },
    { service: "chat", rank: "highest", tokens: 36_000 },
  ];
  let weights = [{ upstream: "i-1", weight: 2 }];
  const metrics = createMetrics({
    getReadingLimits: () => limits,
    getUpstreamWeights: () => weights,
  });
  const before = await metrics.render();
  ok(before.includes('tokens{service="chat",rank="lowest"} 5600'));
  ok(before.includes('azurestile_upstream_weight{upstream="i-1"} 2'));
  limits = [{ service: "chat", tokens: 14_000 }];
  weights = [];
  const after = await metrics.render();
  ok(after.includes('tokens{service="chat"} 14000'));
  ok(!after.includes("rank=") && !after.includes("i-1"));
});
