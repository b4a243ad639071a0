/**
 * A host that serves requests with the real modules, over fake slots, upstreams
 * and table service, and records what callers and upstreams observed.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import type fc from "fast-check";
import { createBacklog, createRetryBudget } from "../admission/mod.ts";
import { type Claims, createClaims } from "../claims/mod.ts";
import { createManualClock, getDigest } from "../core/mod.ts";
import type { Observation, ObservationBody } from "../proof/mod.ts";
import type { CallerLost } from "../requests/caller.ts";
import type { ParsedCall, RequestRejected } from "../requests/parse.ts";
import { OUTCOME_HEADER } from "../requests/reply.ts";
import type { ServeHost } from "../requests/types.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { SlotClient, SlotHandle } from "../slots/mod.ts";
import type { AdmittedRequest, Outcome, Upstream } from "../types.ts";
import {
  createUpstreamHealth,
  createUpstreamLocks,
  DOWN_PERIOD_MS,
  type UpstreamClient,
  UpstreamError,
  type UpstreamFailure,
} from "../upstreams/mod.ts";
import {
  createFakeStore,
  createFakeTableService,
  createIo,
  type Io,
  IoError,
  type IoPlan,
  runScheduled,
} from "./fake_io.ts";

/** What the fake hosts share. */
export interface FakeEnvironment {
  readonly scheduler: fc.Scheduler;
  readonly store: ReturnType<typeof createFakeStore>;
  readonly history: Observation[];
  readonly crashedHosts: Set<string>;
  /** Scheduler steps that a timeout of 0.5 s to 5 s lasts. */
  readonly timeoutSteps: number;
  observe(body: ObservationBody): void;
}

/** Creates an environment with an empty store and history. */
export function createFakeEnvironment(
  scheduler: fc.Scheduler,
  timeoutSteps = 15,
): FakeEnvironment {
  const history: Observation[] = [];
  return {
    scheduler,
    store: createFakeStore(),
    history,
    crashedHosts: new Set(),
    timeoutSteps,
    observe: (body) => history.push({ ...body, atMs: history.length }),
  };
}

/** A host with fake slots and upstreams. */
export interface FakeHost {
  readonly id: string;
  readonly io: Io;
  readonly serveHost: ServeHost;
  /** Number of slots that were granted and not released. */
  getSlotsInUse(): number;
  countReleases(): number;
}

const upstream: Upstream = {
  id: "desk-1",
  service: "desk",
  dataCentre: "dc-1",
  address: "127.0.0.1:1",
  maxSlots: 8,
  fencing: "ignores",
};

const emptyQuarantine: Quarantine = {
  getCrashes: () => 0,
  isQuarantined: () => false,
  recordCrash: () => Effect.succeed(1),
  beginTrial: () => Effect.succeed("begun"),
  endTrial: () => Effect.void,
  refreshIfPartitioned: Effect.void,
  clear: () => Effect.void,
  receiveFact() {},
  refresh: Effect.void,
};

/**
 * Creates a host. `claims` replaces the real claims, to show which failures
 * these prevent.
 */
export function createFakeHost(
  env: FakeEnvironment,
  id: string,
  options: {
    readonly plan: IoPlan;
    readonly claims?: Claims;
    /** Creates the client of the host's upstreams. */
    readonly createUpstreams?: (io: Io) => UpstreamClient;
    /** Called when a slot that was used is released. */
    readonly onRelease?: () => void;
  },
): FakeHost {
  const { scheduler } = env;
  const io = createIo(scheduler, options.plan);
  void io.crashed.then(() => env.crashedHosts.add(id));
  const clock = createManualClock(1_000_000);
  const slots = createFakeSlots(scheduler, io, () => {
    // The clock advances with each slot, so that an upstream that is marked as
    // down becomes available again.
    clock.advance(DOWN_PERIOD_MS / 2);
  }, options.onRelease);
  const claims = options.claims ?? createClaims({
    id,
    incarnation: 1,
    clock,
    tables: createFakeTableService(env.store, io),
    random: () => 0,
  });
  const serveHost: ServeHost = {
    id,
    dataCentre: "dc-1",
    incarnation: 1,
    fleetSecret: "a-secret-of-the-test",
    clock,
    slots: slots.client,
    claims,
    upstreams: options.createUpstreams?.(io) ??
      createFakeUpstreams(env, io),
    health: createUpstreamHealth(clock),
    locks: createUpstreamLocks(),
    quarantine: emptyQuarantine,
    recorder: { record() {}, getSince: () => [] },
    backlog: createBacklog({ clock, random: () => 0 }),
    retryBudget: createRetryBudget(clock),
    getDeployment: () => undefined,
    isDraining: () => false,
    waitUntilDrainTimeout: Effect.never,
    isProcessDead: (other) => env.crashedHosts.has(other),
    charge() {},
    runDetached: (effect) =>
      void runScheduled(scheduler, effect, env.timeoutSteps),
    onEnded() {},
  };
  return {
    id,
    io,
    serveHost,
    getSlotsInUse: () => slots.counts.granted - slots.counts.released,
    countReleases: () => slots.counts.released,
  };
}

function createFakeSlots(
  scheduler: fc.Scheduler,
  io: Io,
  onGrant: () => void,
  onRelease = () => {},
) {
  const counts = { granted: 0, released: 0 };
  const waiting = new Set<AdmittedRequest>();

  function createHandle(): SlotHandle {
    let isHeld = true;
    counts.granted++;
    onGrant();
    return {
      upstream,
      release(end) {
        if (!isHeld) return;
        isHeld = false;
        counts.released++;
        if (end.result !== "unused") onRelease();
      },
    };
  }

  const client = {
    acquire(req: AdmittedRequest, start: (slot: SlotHandle) => void) {
      waiting.add(req);
      void scheduler.schedule(Promise.resolve(), "grant").then(() => {
        if (waiting.delete(req) && !io.hasCrashed()) start(createHandle());
      });
    },
    cancel: (req: AdmittedRequest) => waiting.delete(req),
  };
  return { client: client as unknown as SlotClient, counts };
}

/**
 * Creates a plain service that records the calls it runs. `getFailure`
 * classifies the error of a call that failed.
 */
export function createFakeUpstreams(
  env: FakeEnvironment,
  io: Io,
  getFailure: (err: unknown) => UpstreamFailure = getCertainFailure,
): UpstreamClient {
  return {
    call: (call) =>
      Effect.uninterruptible(Effect.tryPromise({
        try: () =>
          io.run("call", () => {
            env.observe({
              kind: "upstream-ran",
              upstream: upstream.id,
              request: call.request,
              work: call.idempotencyKey,
              operation: call.operation,
            });
            return { status: 200, body: `ran for ${call.request}` };
          }),
        catch: (err) =>
          new UpstreamError({
            failure: getFailure(err),
            reason: String(err),
          }),
      })),
  } as UpstreamClient;
}

function getCertainFailure(err: unknown): UpstreamFailure {
  return err instanceof IoError && err.wasRefused ? "refused" : "broken";
}

/** Result of sending a request once. */
export interface SendResult {
  readonly outcome: Outcome | "cut";
  readonly status: number;
  readonly body: string;
}

/** Serves a request from its admission to its response. */
export type RunRequest = (
  host: ServeHost,
  admitted: AdmittedRequest,
  call: ParsedCall,
  res: ServerResponse,
) => Effect.Effect<void, RequestRejected | CallerLost>;

/** Sends a booking to the host and waits until it ends or the host crashes. */
export async function sendBooking(
  env: FakeEnvironment,
  host: FakeHost,
  options: {
    readonly run: RunRequest;
    readonly sending: string;
    readonly work: string;
  },
): Promise<SendResult> {
  const { run, sending, work } = options;
  const admitted: AdmittedRequest = {
    id: sending,
    team: "alder",
    service: "desk",
    operation: "book",
    arrivedMs: 0,
    deadlineMs: 2_000_000,
    expectedCost: 1,
    fingerprint: getDigest(work),
  };
  env.observe({
    kind: "request-sent",
    sending,
    team: "alder",
    service: "desk",
    operation: "book",
    idempotent: false,
    work,
  });
  const response = { outcome: "", status: 0, body: "" };
  const res = createFakeResponse(response);
  const served = runScheduled(
    env.scheduler,
    run(host.serveHost, admitted, createCall(work), res).pipe(
      Effect.match({
        onSuccess: (): SendResult => ({
          ...response,
          outcome: response.outcome as Outcome,
        }),
        onFailure: (err): SendResult =>
          err._tag === "CallerLost"
            ? { outcome: "cut", status: 0, body: "" }
            : {
              outcome: err.reply.outcome,
              status: err.reply.status,
              body: err.reply.message,
            },
      }),
    ),
    env.timeoutSteps,
  );
  const cut = host.io.crashed.then((): SendResult => ({
    outcome: "cut",
    status: 0,
    body: "",
  }));
  const end = await Promise.race([served, cut]);
  env.observe({
    kind: "request-ended",
    sending,
    outcome: end.outcome,
    request: sending,
    fault: "",
    host: host.id,
  });
  return end;
}

function createCall(work: string): ParsedCall {
  return {
    team: { id: "alder", weight: 1, keyDigest: "", maxQueued: 10 },
    service: {
      id: "desk",
      kind: "plain",
      operations: [],
      maxDeadlineMs: 30_000,
      maxBodyBytes: 1_000,
      expectedCost: 1,
    },
    operation: { name: "book", idempotent: false },
    body: "{}",
    timeoutMs: 30_000,
    idempotencyKey: work,
    costHint: undefined,
    fingerprint: getDigest(work),
  };
}

/** A response that records outcome, status and body, and never closes. */
export function createFakeResponse(
  answer: { outcome: string; status: number; body: string },
): ServerResponse {
  const res = {
    headersSent: false,
    destroyed: false,
    setHeader(name: string, value: string) {
      if (name === OUTCOME_HEADER) answer.outcome = value;
    },
    writeHead(status: number) {
      answer.status = status;
      res.headersSent = true;
    },
    write(text: string) {
      answer.body += text;
      return true;
    },
    end(body: string) {
      answer.body += body;
    },
  };
  return res as unknown as ServerResponse;
}
