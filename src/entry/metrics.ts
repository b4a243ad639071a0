/**
 * Metrics of one entry host.
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Decision, LoggedBody } from "../diagnostics/mod.ts";
import type { EntryMetrics, MetricsHost } from "./metrics_types.ts";

type StartedAttempt = Extract<Decision, { readonly event: "attempt-started" }>;
type FailedAttempt = Extract<Decision, { readonly event: "attempt-failed" }>;

/** Bucket bounds in seconds, from a short call to a long stream. */
const TIME_BUCKETS_S = [
  0.025,
  0.05,
  0.1,
  0.2,
  0.4,
  0.6,
  0.8,
  1.2,
  2,
  4,
  8,
  16,
];

/**
 * If a caller's close is read within this time after its request was sent to an
 * upstream, in ms, the caller had disconnected before that.
 */
const EARLY_CLOSE_MS = 100;

function isSentAfterDisconnect(decision: Decision): boolean {
  return decision.event === "request-ended" &&
    decision.outcome === "caller-left" &&
    decision.sinceAttemptMs !== undefined &&
    decision.sinceAttemptMs < EARLY_CLOSE_MS;
}

/** Creates the metrics of a host that has observed nothing. */
export function createEntryMetrics(host: MetricsHost): EntryMetrics {
  const registry = new Registry();
  const registers = [registry];
  const attemptsFailed = new Counter({
    name: "azurestile_attempts_failed_total",
    help: "Attempts at upstreams without an answer, by kind and next step",
    labelNames: ["kind", "next"],
    registers,
  });
  const attemptsSilent = new Counter({
    name: "azurestile_attempts_silent_total",
    help: "Limits of attempts that passed, by phase and what was done",
    labelNames: ["phase", "next"],
    registers,
  });
  const responsesCut = new Counter({
    name: "azurestile_responses_cut_total",
    help:
      "Responses closed by this host before their end, by phase of the latest silence",
    labelNames: ["silent_phase"],
    registers,
  });
  const bodiesUnproven = new Counter({
    name: "azurestile_response_bodies_unproven_total",
    help: "Bodies without a length that no connection proved, by its result",
    labelNames: ["contact"],
    registers,
  });
  const decisions = new Counter({
    name: "azurestile_decisions_total",
    help: "Decisions logged, by event",
    labelNames: ["event"],
    registers,
  });
  const tableFetches = new Counter({
    name: "azurestile_table_fetches_total",
    help: "Fetches of a table from another host, by table and outcome",
    labelNames: ["table", "outcome"],
    registers,
  });
  const sentAfterDisconnect = new Counter({
    name: "azurestile_requests_sent_for_nobody_total",
    help:
      "Requests whose caller's close was read right after they were sent on",
    registers,
  });
  const asked = new Counter({
    name: "azurestile_upstreams_asked_total",
    help: "Connections to upstreams whose answers broke off, by result",
    labelNames: ["result"],
    registers,
  });
  const bodiesUnread = new Counter({
    name: "azurestile_response_bodies_unread_total",
    help: "Bodies that arrived whole and were not read whole",
    labelNames: ["connection"],
    registers,
  });
  const logLinesDropped = new Counter({
    name: "azurestile_log_lines_dropped_total",
    help: "Log lines lost since the reader of the output fell behind",
    registers,
  });
  addGauge(
    "azurestile_config_version",
    "Configuration in force",
    () => host.getConfigVersion(),
  );
  addGauge(
    "azurestile_requests_queued",
    "Prompts that wait here",
    () => host.getQueued(),
  );
  addGauge(
    "azurestile_requests_in_flight",
    "Answers that are not whole",
    () => host.countInFlight(),
  );
  addGauge(
    "azurestile_hosts_alive",
    "Hosts alive, this one included",
    () => host.countAliveHosts(),
  );
  addGauge(
    "azurestile_data_centres_evacuated",
    "Data centres whose upstreams get no new requests",
    () => host.countEvacuated(),
  );
  addGauge(
    "azurestile_upstreams_cold",
    "Upstreams that get few requests until they are warm",
    () => host.countColdUpstreams(),
  );
  addGauge(
    "azurestile_unread_seconds",
    "How long a request that is read now may have waited unread",
    () => host.getUnreadMs() / 1_000,
  );
  new Gauge({
    name: "azurestile_reading_limit_tokens",
    help: "What an upstream may have to read at once, by service, as learned",
    labelNames: ["service", "rank"],
    registers,
    collect() {
      // A host can change between one limit and several.
      this.reset();
      for (const { service, rank, tokens } of host.getReadingLimits()) {
        this.set(rank === undefined ? { service } : { service, rank }, tokens);
      }
    },
  });
  addGauge(
    "azurestile_ready",
    "1 when this host takes requests",
    () => Number(host.isReady()),
  );

  const handoffs = new Counter({
    name: "azurestile_handoff_connections_total",
    help: "Hosts asked to take a connection, by outcome",
    labelNames: ["outcome"],
    registers,
  });
  const received = new Counter({
    name: "azurestile_handoff_received_total",
    help: "Connections that other hosts handed off, by outcome",
    labelNames: ["outcome"],
    registers,
  });
  const returned = new Counter({
    name: "azurestile_handoff_returned_total",
    help: "Connections taken back before anything was passed on, by cause",
    labelNames: ["cause"],
    registers,
  });
  addGauge(
    "azurestile_handoff_open",
    "Connections that this host hands off at present",
    () => host.countHandoffs(),
  );

  const streamVersions = new Counter({
    name: "azurestile_stream_versions_total",
    help: "Streams that callers took up, by who knew their software version",
    labelNames: ["from"],
    registers,
  });

  const prefixFetches = new Counter({
    name: "azurestile_prefix_fetches_total",
    help: "Prompts whose upstream fetches the shared prefix, by reason",
    labelNames: ["reason"],
    registers,
  });
  // Up to twenty series.
  const bodies = new Counter({
    name: "azurestile_response_bodies_total",
    help: "Bodies of upstreams' responses, by framing and end of connection",
    labelNames: ["framing", "connection"],
    registers,
  });
  addGauge(
    "azurestile_prefixes_known",
    "Shared prefixes of which an upstream is known to hold them",
    () => host.countPrefixes(),
  );
  const prefixPlacements = new Counter({
    name: "azurestile_prefix_placements_total",
    help: "Placements of shared prefixes that became known, by source",
    labelNames: ["source"],
    registers,
  });
  const promptsDecided = new Counter({
    name: "azurestile_prompts_decided_total",
    help:
      "Prompts started and refused by the queue, by what their teams get of their due",
    labelNames: ["outcome", "standing"],
    registers,
  });
  const grants = new Counter({
    name: "azurestile_grants_total",
    help: "Requests for a grant of an upstream's owner, by outcome",
    labelNames: ["outcome"],
    registers,
  });
  addGauge(
    "azurestile_grant_requests_waiting",
    "Requests for a grant that wait at this host",
    () => host.countGrantRequests(),
  );
  addGauge(
    "azurestile_load_hosts",
    "Hosts whose use of the upstreams this one counts, itself included",
    () => host.getLoadCoverage().hosts,
  );
  addGauge(
    "azurestile_load_age_seconds",
    "Age of the oldest report of that use",
    () => host.getLoadCoverage().ageMs / 1_000,
  );
  addGauge(
    "azurestile_memory_limit_bytes",
    "Memory above which the process is killed",
    () => host.memoryLimitBytes,
  );
  addGauge(
    "azurestile_caller_connections",
    "Open connections of callers",
    () => host.countConnections(),
  );
  new Gauge({
    name: "azurestile_memory_bytes",
    help: "Memory of the process; held: what it counts of bodies",
    labelNames: ["part"],
    registers,
    collect() {
      const held = host.getHeld();
      this.set({ part: "held_requests" }, held.requestBytes);
      this.set({ part: "held_responses" }, held.responseBytes);
      const memory = host.tryReadMemory();
      if (memory === undefined) return;
      this.set({ part: "resident" }, memory.residentBytes);
      this.set({ part: "heap_used" }, memory.heapUsed);
      this.set({ part: "external" }, memory.external);
      this.set({ part: "array_buffers" }, memory.arrayBuffers);
    },
  });
  // The families that grow with the number of routes or of upstreams come last,
  // since a scrape may be cut at some length.
  const ended = new Counter({
    name: "azurestile_requests_ended_total",
    help: "Requests ended, by route, outcome and status",
    labelNames: ["route", "outcome", "status"],
    registers,
  });
  const seconds = new Histogram({
    name: "azurestile_request_seconds",
    help: "Time from a request's arrival to its end, by route",
    labelNames: ["route"],
    buckets: TIME_BUCKETS_S,
    registers,
  });
  const firstEventSeconds = new Histogram({
    name: "azurestile_first_event_seconds",
    help: "Time from a stream's arrival to its first event, by route",
    labelNames: ["route"],
    buckets: TIME_BUCKETS_S,
    registers,
  });
  new Gauge({
    name: "azurestile_upstream_weight",
    help: "Share of the shared prefixes that an upstream gets, unless 1",
    labelNames: ["upstream"],
    registers,
    collect() {
      this.reset();
      for (const { upstream, weight } of host.getUpstreamWeights()) {
        this.set({ upstream }, weight);
      }
    },
  });
  function addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  }

  function observeBody(body: LoggedBody): void {
    const { framing, connection, isEndReceived, unreadBytes } = body;
    bodies.inc({ framing, connection });
    if (isEndReceived && unreadBytes > 0) bodiesUnread.inc({ connection });
  }

  function observeFailure(failure: FailedAttempt): void {
    const { kind, next, silence, contact } = failure;
    attemptsFailed.inc({ kind, next });
    if (silence !== undefined) {
      attemptsSilent.inc({ phase: silence.phase, next });
    }
    if (contact !== undefined) bodiesUnproven.inc({ contact });
  }

  /** Counts a prompt that the queue has started or refused. */
  function observeStanding(decision: Decision): void {
    if (decision.event === "attempt-started" && decision.room) {
      const { standing } = decision.room;
      promptsDecided.inc({ outcome: "started", standing });
    } else if (decision.event === "request-ended" && decision.queue?.standing) {
      const { standing } = decision.queue;
      promptsDecided.inc({ outcome: "refused", standing });
    }
  }

  function observeStart({ fetchFrom, fetchReason }: StartedAttempt): void {
    if (fetchFrom === undefined || fetchReason === undefined) return;
    prefixFetches.inc({ reason: fetchReason });
  }

  return {
    observeEnd(end) {
      const route = end.route ?? "none";
      const status = String(end.status);
      ended.inc({ route, outcome: end.outcome, status });
      seconds.observe({ route }, end.totalMs / 1_000);
      if (end.firstEventMs === undefined) return;
      firstEventSeconds.observe({ route }, end.firstEventMs / 1_000);
    },
    observeDecision(decision) {
      decisions.inc({ event: decision.event });
      if ("body" in decision && decision.body) observeBody(decision.body);
      if (decision.event === "request-ended" && decision.isCut) {
        responsesCut.inc({ silent_phase: decision.silentPhase ?? "none" });
      }
      observeStanding(decision);
      if (decision.event === "stream-version-found") {
        streamVersions.inc({ from: decision.from });
      } else if (decision.event === "stream-version-unknown") {
        streamVersions.inc({ from: "nobody" });
      } else if (decision.event === "attempt-failed") {
        observeFailure(decision);
      } else if (decision.event === "attempt-silent") {
        const { phase } = decision.silence;
        attemptsSilent.inc({ phase, next: decision.next });
      } else if (isSentAfterDisconnect(decision)) {
        sentAfterDisconnect.inc();
      } else if (decision.event === "attempt-started") {
        observeStart(decision);
      } else if (decision.event === "log-lines-dropped") {
        logLinesDropped.inc(decision.lines);
      }
    },
    observeFetch: (table, outcome) => tableFetches.inc({ table, outcome }),
    observeAsked: (result) => asked.inc({ result }),
    observeHandoff: (outcome) => handoffs.inc({ outcome }),
    observeReceived: (outcome) => received.inc({ outcome }),
    observeReturned: (cause) => returned.inc({ cause }),
    observePlacement: (source) => prefixPlacements.inc({ source }),
    observeGrant: (outcome) => grants.inc({ outcome }),
    render: () => registry.metrics(),
  };
}
