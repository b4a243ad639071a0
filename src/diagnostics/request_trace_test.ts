import { deepStrictEqual, match, strictEqual } from "node:assert";
import { test } from "node:test";
import { parseDecisionLines } from "./decision_lines.ts";
import { formatRequestTrace, tryTraceRequest } from "./request_trace.ts";

const inputs = { configVersion: 4, upstreamsVersion: 19, confirmedMsAgo: 90 };

/** Makes a line as a host logs it, `ms` after the start of the test's log. */
function createLine(host: string, ms: number, decision: object): string {
  const time = new Date(Date.UTC(2026, 0, 1) + ms).toISOString();
  return JSON.stringify({ name: "azurestile-entry", host, ...decision, time });
}

function createEnd(request: string, changes: object = {}): object {
  return {
    event: "request-ended",
    request,
    team: "calm",
    outcome: "answered",
    status: 200,
    reason: "Passed on from the upstream",
    attempts: 1,
    totalMs: 20,
    inputs,
    ...changes,
  };
}

/**
 * Log of a crash in mid-stream of an upstream, which the platform later
 * removed.
 */
const crash = [
  createLine("h1", 9_000, {
    event: "upstream-changed",
    upstream: "i-1",
    service: "model",
    softwareVersion: "v1",
    change: "removed",
    platformVersion: 20,
  }),
  createLine("h2", 7_950, {
    event: "attempt-failed",
    request: "other",
    upstream: "i-1",
    kind: "not-sent",
    reason: "ECONNREFUSED",
    syscall: "connect",
    next: "another-upstream",
  }),
  createLine("h1", 7_900, {
    event: "attempt-failed",
    request: "r-1",
    upstream: "i-1",
    kind: "broken",
    reason: "The body ended early",
    next: "give-up",
    because: "It may have run and may not be repeated",
  }),
  createLine("h1", 7_000, {
    event: "attempt-started",
    request: "r-1",
    upstream: "i-1",
    attempt: 1,
    waitedMs: 3,
    inFlight: 11,
    readingTokens: 5_600,
    inputs,
  }),
  createLine(
    "h1",
    7_901,
    createEnd("r-1", { outcome: "may-have-run", status: 0 }),
  ),
  createLine("h1", 7_905, createEnd("r-2")),
  createLine("h1", 7_906, createEnd("r-3", { team: "flood" })),
  createLine("h2", 7_907, createEnd("r-4")),
  createLine("h1", 60_000, {
    event: "config-in-force",
    version: 5,
    platformVersion: 30,
    from: "platform",
  }),
].join("\n");

test("a request that was cut off by an upstream's crash is traced to the crash", () => {
  // A caller has half a response and its attempt's id. On-call engineers have
  // only the unordered lines of all hosts. They show that another host could
  // not connect to the same upstream, and that the platform removed it a second
  // later.
  const { logged, unreadable } = parseDecisionLines(crash);
  strictEqual(unreadable, 0);
  const trace = tryTraceRequest(logged, "r-1")!;
  deepStrictEqual(trace.ownDecisions.map(({ decision }) => decision.event), [
    "attempt-started",
    "attempt-failed",
    "request-ended",
  ]);
  deepStrictEqual(
    trace.related.map(({ decision }) => decision.event),
    [
      "attempt-failed",
      "upstream-changed",
    ],
  );
  deepStrictEqual(
    [...trace.otherEnds],
    [["calm: answered", 1], ["flood: answered", 1]],
  );
  const text = formatRequestTrace(trace).join("\n");
  match(text, /\+900 ms {2}h1 {2}Attempt at i-1 failed: broken/);
  match(text, /since "It may have run and may not be repeated"/);
  match(
    text,
    /\+950 ms {2}h2 {2}Attempt at i-1 failed: not-sent, "ECONNREFUSED" \(connect\)/,
  );
  match(text, /Upstream i-1 of model: removed, .* software version v1 /);
});

test("a cut response is described with what was received, read and relayed", () => {
  // Guards against a cut whose cause is in the log but not in its trace.
  const end = createEnd("r-1", {
    body: {
      framing: "length",
      announcedBytes: 4_800,
      receivedBytes: 4_800,
      readBytes: 4_000,
      unreadBytes: 800,
      relayedBytes: 3_900,
      isEndReceived: true,
      pausedMs: 31,
      connection: "failed",
      code: "ECONNRESET",
    },
  });
  const { logged } = parseDecisionLines(createLine("h1", 0, end));
  const [, line] = formatRequestTrace(tryTraceRequest(logged, "r-1")!);
  match(
    line!,
    /body \(length\): 4800 of 4800 bytes received to its end, 800 of/,
  );
  match(line!, /not read, 3900 relayed, paused for 31 ms, connection failed/);
  match(line!, /failed \(ECONNRESET\); configuration 4/);
});

test("a stream is described with the software versions of its attempts and events", () => {
  // Guards against a mixed stream whose two versions no trace shows.
  const { logged } = parseDecisionLines([
    createLine("h1", 0, {
      event: "attempt-started",
      request: "r-1",
      upstream: "i-2",
      softwareVersion: "v1.1",
      streamVersion: "v1",
      resumes: "r-0",
      attempt: 2,
      waitedMs: 3,
      inFlight: 11,
      inputs,
    }),
    createLine("h1", 5, createEnd("r-1", { eventVersions: ["v1", null] })),
  ].join("\n"));
  const [, sent, end] = formatRequestTrace(tryTraceRequest(logged, "r-1")!);
  match(sent!, /i-2 of version v1.1, though the stream began at v1, \(attempt/);
  match(sent!, /it takes up the stream of r-0/);
  match(end!, /events of software versions: v1, not named/);
});

test("a stream that is taken up is described with who knew its version", () => {
  const common = {
    request: "r-2",
    resumes: "r-1",
    tookMs: 41,
    asked: 3,
    answered: 2,
    answers: [{ from: "10.0.0.2:7400", said: "known" }],
    inputs,
  };
  const { logged } = parseDecisionLines([
    createLine("h1", 0, {
      event: "stream-version-found",
      version: "v1.1",
      from: "keeper",
      ...common,
    }),
    createLine("h2", 3, {
      event: "stream-version-unknown",
      versions: 2,
      ...common,
    }),
  ].join("\n"));
  const [, found, unknown] = formatRequestTrace(
    tryTraceRequest(logged, "r-2")!,
  );
  match(
    found!,
    /stream of r-1 goes on at version v1.1 \(keeper\); 2 of 3 hosts.*: 10.0.0.2:7400 "known"; .* upstreams 19, last read 90 ms/,
  );
  match(unknown!, /stream of r-1 is not taken up.* within 41 ms/);
});

test("a refusal is described with its wait, its reason and the time to retry", () => {
  const end = createEnd("r-1", {
    outcome: "not-run",
    status: 503,
    reason: "Upstreams are busy past the time in which the answer is on time",
    attempts: 0,
    totalMs: 481,
    retryAfterMs: 875.4,
    queue: {
      waitedMs: 480,
      waiting: 31,
      yields: 2,
      shareUsed: 1.4,
      service: { asked: 9_000, begun: 2_100, mostBegun: 4_300 },
      upstream: "i-1",
      limitTokens: 14_000,
      load: {
        slots: 48,
        inFlight: 27,
        readingTokens: 13_900,
        underservedElsewhere: 0,
        isWarmUpSpent: false,
      },
    },
  });
  const { logged } = parseDecisionLines(createLine("h1", 0, end));
  const [, line] = formatRequestTrace(tryTraceRequest(logged, "r-1")!);
  match(line!, /not-run with status 503 after 481 ms and 0 attempts/);
  match(
    line!,
    /retry in 875 ms; with 31 prompts queued it was of a team over/,
  );
  match(line!, /2100 of 9000 tokens per second begun, 4300 of the best served/);
  match(line!, /1.4 of the share used\); i-1 had 27 of 48 slots in use/);
  match(
    line!,
    /and 13900 of 14000 tokens to prefill; configuration 4 and upstreams 19/,
  );
});

test("a refusal without a wait is described with the requests ahead", () => {
  const end = createEnd("r-1", {
    outcome: "not-run",
    status: 503,
    reason: "Upstreams are busy past the time in which the answer is on time",
    queue: {
      waitedMs: 0,
      waiting: 31,
      yields: 2,
      shareUsed: 1.4,
      service: { asked: 9_000, begun: 2_100, mostBegun: 4_300 },
      backlog: { waiting: 12, startedPerSecond: 3.5 },
      upstream: undefined,
      limitTokens: undefined,
      load: undefined,
    },
  });
  const { logged } = parseDecisionLines(createLine("h1", 0, end));
  const [, line] = formatRequestTrace(tryTraceRequest(logged, "r-1")!);
  match(
    line!,
    /; 12 requests of its team and route were ahead, of which 3.5 start per sec/,
  );
});

test("lines that are not decisions are skipped and counted", () => {
  // Output of several processes that is truncated at its start and has a prefix
  // from a log shipper.
  const text = `{"event":"request-en\nplain words\n12.5 h1 ${
    createLine("h1", 0, createEnd("r-1"))
  }\n\n`;
  const { logged, unreadable } = parseDecisionLines(text);
  strictEqual(logged.length, 1);
  strictEqual(unreadable, 2);
  strictEqual(tryTraceRequest(logged, "r-9"), undefined);
});
