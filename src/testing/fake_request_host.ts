/**
 * A host for the life of a request over the real modules, with fake slots,
 * upstreams and table service, and a record of what callers and upstreams saw.
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
  createFakeTables,
  createIo,
  type Io,
  IoError,
  type IoPlan,
  runScheduled,
} from "./fake_io.ts";

/** The world that the fake hosts share. */
export interface FakeWorld {
  readonly scheduler: fc.Scheduler;
  readonly store: ReturnType<typeof createFakeStore>;
  readonly history: Observation[];
  readonly dead: Set<string>;
  /** Scheduler steps that a timeout of a second lasts. */
  readonly patience: number;
  observe(body: ObservationBody): void;
}

/** Makes a world in which nothing happened. */
export function createFakeWorld(
  scheduler: fc.Scheduler,
  patience = 15,
): FakeWorld {
  const history: Observation[] = [];
  return {
    scheduler,
    store: createFakeStore(),
    history,
    dead: new Set(),
    patience,
    observe: (body) => history.push({ ...body, atMs: history.length }),
  };
}

/** A fake host. */
export interface FakeHost {
  readonly id: string;
  readonly io: Io;
  readonly serveHost: ServeHost;
  /** Slots that were granted and not given back. */
  getSlotsInUse(): number;
  getReleases(): number;
}

const upstream: Upstream = {
  id: "desk-1",
  service: "desk",
  dataCentre: "dc-1",
  address: "127.0.0.1:1",
  maxSlots: 8,
  fencing: "ignores",
};

const noCrashes: Quarantine = {
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

/** Makes a host; `claims` replaces the real ones, to show what they prevent. */
export function createFakeHost(
  world: FakeWorld,
  id: string,
  options: {
    readonly plan: IoPlan;
    readonly claims?: Claims;
    /** Makes the upstreams that the host reaches. */
    readonly createUpstreams?: (io: Io) => UpstreamClient;
    /** Called when a slot goes back that was used. */
    readonly onRelease?: () => void;
  },
): FakeHost {
  const { scheduler } = world;
  const io = createIo(scheduler, options.plan);
  void io.died.then(() => world.dead.add(id));
  const clock = createManualClock(1_000_000);
  const slots = createFakeSlots(scheduler, io, () => {
    // Time passes with each slot, so that an upstream is not down for good.
    clock.advance(DOWN_PERIOD_MS / 2);
  }, options.onRelease);
  const claims = options.claims ?? createClaims({
    id,
    incarnation: 1,
    clock,
    tables: createFakeTables(world.store, io),
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
      createFakeUpstreams(world, io),
    health: createUpstreamHealth(clock),
    locks: createUpstreamLocks(),
    quarantine: noCrashes,
    recorder: { record() {}, getSince: () => [] },
    backlog: createBacklog({ clock, random: () => 0 }),
    retryBudget: createRetryBudget(clock),
    getDeployment: () => undefined,
    isDraining: () => false,
    waitUntilDrainTimeout: Effect.never,
    isProcessDead: (other) => world.dead.has(other),
    charge() {},
    runDetached: (effect) =>
      void runScheduled(scheduler, effect, world.patience),
    onEnded() {},
  };
  return {
    id,
    io,
    serveHost,
    getSlotsInUse: () => slots.counts.granted - slots.counts.released,
    getReleases: () => slots.counts.released,
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
        if (waiting.delete(req) && !io.isDead()) start(createHandle());
      });
    },
    cancel: (req: AdmittedRequest) => waiting.delete(req),
  };
  return { client: client as unknown as SlotClient, counts };
}

/** A plain service that notes what it runs; `getFailure` names a lost call. */
export function createFakeUpstreams(
  world: FakeWorld,
  io: Io,
  getFailure: (err: unknown) => UpstreamFailure = getCertainFailure,
): UpstreamClient {
  return {
    call: (call) =>
      Effect.uninterruptible(Effect.tryPromise({
        try: () =>
          io.run("call", () => {
            world.observe({
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

/** What a sending came to. */
export interface SendingEnd {
  readonly outcome: Outcome | "cut";
  readonly status: number;
  readonly body: string;
}

/** How the life of a request is run. */
export type RunRequest = (
  host: ServeHost,
  admitted: AdmittedRequest,
  call: ParsedCall,
  res: ServerResponse,
) => Effect.Effect<void, RequestRejected | CallerLost>;

/** Sends a booking to the host and waits for its end or the host's death. */
export async function sendBooking(
  world: FakeWorld,
  host: FakeHost,
  options: {
    readonly run: RunRequest;
    readonly sending: string;
    readonly work: string;
  },
): Promise<SendingEnd> {
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
  world.observe({
    kind: "request-sent",
    sending,
    team: "alder",
    service: "desk",
    operation: "book",
    idempotent: false,
    work,
  });
  const answer = { outcome: "", status: 0, body: "" };
  const res = createFakeResponse(answer);
  const served = runScheduled(
    world.scheduler,
    run(host.serveHost, admitted, createCall(work), res).pipe(
      Effect.match({
        onSuccess: (): SendingEnd => ({
          ...answer,
          outcome: answer.outcome as Outcome,
        }),
        onFailure: (err): SendingEnd =>
          err._tag === "CallerLost"
            ? { outcome: "cut", status: 0, body: "" }
            : {
              outcome: err.reply.outcome,
              status: err.reply.status,
              body: err.reply.message,
            },
      }),
    ),
    world.patience,
  );
  const cut = host.io.died.then((): SendingEnd => ({
    outcome: "cut",
    status: 0,
    body: "",
  }));
  const end = await Promise.race([served, cut]);
  world.observe({
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

/** A response that notes the head and the body, and never closes. */
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
