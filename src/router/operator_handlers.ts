/**
 * Endpoints for operators: one command, which applies a configuration, and the
 * queries of the operators' programs.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import * as Effect from "effect/Effect";
import type {
  ConfigCopy,
  ConfigStore,
  FileSet,
  RouterSettings,
} from "../config/mod.ts";
import {
  type AcceptResult,
  ConfigError,
  decodeFileSet,
  getSharedKeyProblems,
  throwIfProblems,
} from "../config/mod.ts";
import type { Clock, HybridClock } from "../core/mod.ts";
import {
  formatMessage,
  type MessageName,
  messages,
} from "../diagnostics/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { PlatformError } from "../platform/mod.ts";
import {
  fromQuery,
  matchesFilter,
  type RingRecorder,
} from "../timeline/mod.ts";
import type { ConfigVersion } from "../types.ts";
import type { Fleet } from "../fleet/mod.ts";
import type { ServedTeam } from "./metrics.ts";
import type {
  ApplyBody,
  ConfigAnswer,
  HistoryAnswer,
  HostStatus,
  TimelineAnswer,
} from "./operator_types.ts";
import type { OperatorHandler } from "./public_server.ts";

/** Dependencies of the endpoints, supplied by the process. */
export interface OperatorHost {
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  readonly configStore: ConfigStore;
  readonly membership: Membership;
  readonly fleet: Fleet;
  readonly recorder: RingRecorder;
  readonly operators: RouterSettings["operators"];
  getCurrent(): ConfigVersion | undefined;
  /** Puts a version that this host accepted in force without delay. */
  onAccepted(copy: ConfigCopy): void;
  isDraining(): boolean;
  isUpstreamLeaving(upstream: string): boolean;
  tryGetNotReadyReason(): string | undefined;
  /**
   * Cost and number of requests by service and team since this host started.
   */
  getServed(): readonly ServedTeam[];
}

type OperatorResponse = Awaited<ReturnType<OperatorHandler>>;

const DEFAULT_HISTORY_LIMIT = 100;
const ATTEMPT_ID = /^[0-9a-f-]{36}$/;

/** Creates the handlers, keyed by method and path. */
export function createOperatorHandlers(
  host: OperatorHost,
): Readonly<Record<string, OperatorHandler>> {
  return {
    "GET /ops/status": () => Promise.resolve(ok(getStatus(host))),
    "GET /ops/timeline": ({ url }) =>
      Promise.resolve(ok(getTimeline(host, url))),
    "GET /ops/history": ({ url }) =>
      runPlatformCall(
        host.configStore.getHistory(getLimit(url)).pipe(
          Effect.map((versions) => ok({ versions } satisfies HistoryAnswer)),
        ),
      ),
    "GET /ops/config": ({ url }) => runPlatformCall(getConfig(host, url)),
    "POST /ops/config": ({ operator, body }) => apply(host, operator, body),
  };
}

function getStatus(host: OperatorHost): HostStatus {
  const current = host.getCurrent();
  const self = host.membership.getSelf();
  const deployment = current?.deployment;
  return {
    host: self.host,
    dataCentre: self.dataCentre,
    draining: host.isDraining(),
    notReady: host.tryGetNotReadyReason(),
    configVersion: current?.version ?? 0,
    configDigest: current?.digest ?? "",
    members: host.membership.getMembers(),
    upstreams: (deployment?.upstreams ?? []).map((upstream) => ({
      id: upstream.id,
      service: upstream.service,
      dataCentre: upstream.dataCentre,
      leaving: host.isUpstreamLeaving(upstream.id),
      owner: host.fleet.getOwner(upstream.id),
    })),
    owned: host.fleet.getOwned(),
    queues: (deployment?.services ?? []).flatMap(({ id }) =>
      [...host.fleet.slots.getQueues(id).getCounts()].map((
        [team, waiting],
      ) => ({ service: id, team, waiting }))
    ),
    teams: (deployment?.teams ?? []).map(({ id, weight }) => ({ id, weight })),
    served: host.getServed(),
  };
}

function getTimeline(host: OperatorHost, url: URL): TimelineAnswer {
  const filter = fromQuery(url.searchParams);
  const until = host.hybridClock.tick();
  const events = host.recorder.getSince(filter.after ?? 0)
    .filter((event) => matchesFilter(event, filter));
  return { events, until, lost: host.recorder.getNewestLostStamp() };
}

function getLimit(url: URL): number {
  return Number(url.searchParams.get("limit") ?? DEFAULT_HISTORY_LIMIT);
}

/** Returns the requested version, or the newest accepted one by default. */
function getConfig(
  host: OperatorHost,
  url: URL,
): Effect.Effect<OperatorResponse, PlatformError> {
  const { configStore } = host;
  const asked = url.searchParams.get("version");
  return Effect.gen(function* () {
    const head = yield* configStore.getHead();
    const last = head?.version ?? 0;
    const row = asked === null
      ? head
      : yield* configStore.tryGetVersion(Number(asked));
    if (row === undefined) {
      if (asked === null) return ok({} satisfies ConfigAnswer);
      if (last === 0) return fail(404, "recordEmpty", []);
      return fail(404, "versionNotFound", [asked, last]);
    }
    const files = yield* configStore.tryGetFiles(row.digest);
    if (files === undefined) {
      return fail(503, "versionUnreadable", [row.version]);
    }
    return ok({ row, files } satisfies ConfigAnswer);
  });
}

async function apply(
  host: OperatorHost,
  operator: string,
  body: string,
): Promise<OperatorResponse> {
  const parsed = tryParseApplyBody(body);
  if (parsed === undefined) {
    return fail(400, "badOperatorBody", ["files and baseVersion are required"]);
  }
  const { files, baseVersion, attempt } = parsed;
  try {
    const deployment = decodeFileSet(files);
    throwIfProblems(getSharedKeyProblems(deployment, host.operators));
  } catch (err) {
    if (!(err instanceof ConfigError)) throw err;
    return fail(400, "configInvalid", [err.message]);
  }
  const accepted = host.configStore.accept({
    files,
    baseVersion,
    author: operator,
    attempt: attempt ?? randomUUID(),
    nowMs: host.clock.wallMs(),
  });
  return await runPlatformCall(
    accepted.pipe(Effect.map((result) => toResponse(host, files, result))),
  );
}

function tryParseApplyBody(body: string): ApplyBody | undefined {
  let parsed: Partial<ApplyBody> | null;
  try {
    parsed = JSON.parse(body);
  } catch {
    return undefined;
  }
  const { files, baseVersion, attempt } = parsed ?? {};
  if (typeof files !== "object" || files === null) return undefined;
  if (!Number.isSafeInteger(baseVersion)) return undefined;
  if (attempt !== undefined && !ATTEMPT_ID.test(attempt)) return undefined;
  if (Object.values(files).some((text) => typeof text !== "string")) {
    return undefined;
  }
  return { files, baseVersion: baseVersion!, attempt };
}

function toResponse(
  host: OperatorHost,
  files: FileSet,
  result: AcceptResult,
): OperatorResponse {
  switch (result.kind) {
    case "accepted":
      host.onAccepted({ row: result.row, files });
      return ok(result.row);
    case "conflict": {
      const { head, details } = result;
      const { status, value } = fail(409, "configConflict", [
        head.version,
        head.author,
      ]);
      return { status, value: { ...value, head, ...details } };
    }
    case "unknown":
      return fail(503, "configUnknown", [result.reason]);
  }
}

function runPlatformCall(
  response: Effect.Effect<OperatorResponse, PlatformError>,
): Promise<OperatorResponse> {
  return Effect.runPromise(response.pipe(
    Effect.catchTag(
      "PlatformError",
      (err) => Effect.succeed(fail(503, "platformUnavailable", [err.reason])),
    ),
  ));
}

function ok(value: unknown): OperatorResponse {
  return { status: 200, value };
}

function fail(
  status: number,
  name: MessageName,
  args: readonly (string | number)[],
): { status: number; value: { code: number; message: string } } {
  const message = formatMessage(name, args);
  return { status, value: { code: messages[name].code, message } };
}
