/**
 * Parses an HTTP request into a validated call: team, service, operation, body,
 * deadline and idempotency key. An invalid request gets a final reply with the
 * outcome "not-run".
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import * as Data from "effect/Data";
import * as Effect from "effect/Effect";
import {
  getDigest,
  getErrorMessage,
  isEqualInConstantTime,
} from "../core/mod.ts";
import type { Deployment, Operation, Service, Team } from "../types.ts";
import { createNotRunReply, type FinalReply } from "./reply.ts";

/** A request that is rejected with a final reply. */
export class RequestRejected extends Data.TaggedError("RequestRejected")<{
  readonly reply: FinalReply;
}> {}

/** A validated call. */
export interface ParsedCall {
  readonly team: Team;
  readonly service: Service;
  readonly operation: Operation;
  readonly body: string;
  /** Time-out of the caller, in ms, limited to the maximum of the service. */
  readonly timeoutMs: number;
  /** Empty when the caller sent none. */
  readonly idempotencyKey: string;
  /** The caller's rough estimate of the cost. */
  readonly costHint: number | undefined;
  /**
   * Digest of service, operation and body; equal for a resend of the same
   * content.
   */
  readonly fingerprint: string;
}

/** Time-out for receiving a request body, in ms. */
export const BODY_TIMEOUT_MS = 30_000;

/**
 * How long data is read and discarded that the caller sends after its response,
 * in ms.
 */
const DISCARD_TIMEOUT_MS = 5_000;

const CALL_PATH = /^\/v1\/([^/]+)\/([^/]+)$/;

/** Finds the team of the key that the request carries. */
export function authenticate(
  req: IncomingMessage,
  teams: readonly Team[],
): Effect.Effect<Team, RequestRejected> {
  const header = req.headers.authorization ?? "";
  if (!header.startsWith("Bearer ")) {
    return reject(createNotRunReply(401, "missingKey"));
  }
  const digest = getDigest(header.slice("Bearer ".length));
  const team = teams.find((each) =>
    isEqualInConstantTime(each.keyDigest, digest)
  );
  return team === undefined
    ? reject(createNotRunReply(401, "unknownKey"))
    : Effect.succeed(team);
}

/** Parses and validates a call; fails with the reply to an invalid request. */
export function parseCall(
  req: IncomingMessage,
  deployment: Deployment,
): Effect.Effect<ParsedCall, RequestRejected> {
  return Effect.gen(function* () {
    const team = yield* authenticate(req, deployment.teams);
    const { service, operation } = yield* findOperation(req, deployment);
    const idempotencyKey = String(req.headers["idempotency-key"] ?? "");
    if (!operation.idempotent && idempotencyKey === "") {
      const args = [operation.name];
      return yield* reject(
        createNotRunReply(400, "missingIdempotencyKey", { args }),
      );
    }
    const timeoutMs = yield* readNumberHeader(
      req,
      "azurestile-timeout-ms",
      service.maxDeadlineMs,
    );
    const costHint = yield* readNumberHeader(req, "azurestile-cost-hint", NaN);
    const body = yield* readBody(req, service.maxBodyBytes);
    yield* checkJsonObject(body);
    return {
      team,
      service,
      operation,
      body,
      timeoutMs: Math.min(timeoutMs, service.maxDeadlineMs),
      idempotencyKey,
      costHint: Number.isNaN(costHint) ? undefined : costHint,
      fingerprint: getDigest(`${service.id}\n${operation.name}\n${body}`),
    };
  });
}

/** Fails with the reply, which ends the request. */
export function reject(
  reply: FinalReply,
): Effect.Effect<never, RequestRejected> {
  return Effect.fail(new RequestRejected({ reply }));
}

function findOperation(req: IncomingMessage, deployment: Deployment) {
  return Effect.gen(function* () {
    const path = (req.url ?? "").split("?")[0]!;
    const match = CALL_PATH.exec(path);
    if (match === null) {
      return yield* reject(
        createNotRunReply(404, "unknownPath", { args: [path] }),
      );
    }
    const [, serviceId = "", operationName = ""] = match;
    const service = deployment.services.find((each) => each.id === serviceId);
    if (service === undefined) {
      const args = [serviceId];
      return yield* reject(createNotRunReply(404, "unknownService", { args }));
    }
    const operation = service.operations.find((each) =>
      each.name === operationName
    );
    if (operation === undefined) {
      const args = [serviceId, operationName];
      return yield* reject(
        createNotRunReply(404, "unknownOperation", { args }),
      );
    }
    return { service, operation };
  });
}

function readNumberHeader(
  req: IncomingMessage,
  header: string,
  fallback: number,
): Effect.Effect<number, RequestRejected> {
  const text = req.headers[header];
  if (text === undefined) return Effect.succeed(fallback);
  const value = Number(text);
  if (Number.isFinite(value) && value > 0) return Effect.succeed(value);
  const args = [header, String(text), "a positive number"];
  return reject(createNotRunReply(400, "badHeader", { args }));
}

/**
 * Reads the body by events and not by asynchronous iteration: ending an
 * iteration early destroys the connection, and the caller would not get its
 * response.
 */
function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Effect.Effect<string, RequestRejected> {
  const declared = Number(req.headers["content-length"] ?? 0);
  const tooLarge = createNotRunReply(413, "bodyTooLarge", { args: [maxBytes] });
  if (declared > maxBytes) return rejectAndDiscardBody(req, tooLarge);
  return Effect.callback<string, RequestRejected>((resume) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resume(rejectAndDiscardBody(req, tooLarge));
      else chunks.push(chunk);
    };
    const onEnd = () =>
      resume(Effect.succeed(Buffer.concat(chunks).toString("utf8")));
    req.on("data", onData);
    req.on("end", onEnd);
    return Effect.sync(() => {
      req.off("data", onData);
      req.off("end", onEnd);
    });
  }).pipe(Effect.timeoutOrElse({
    duration: BODY_TIMEOUT_MS,
    orElse: () => {
      const args = [BODY_TIMEOUT_MS];
      return rejectAndDiscardBody(
        req,
        createNotRunReply(408, "slowBody", { args }),
      );
    },
  }));
}

/**
 * Responds to a caller that may still be sending. Its data is read and
 * discarded for a while: closing a connection with unread data resets it, and
 * the reset can overtake the response.
 */
function rejectAndDiscardBody(
  req: IncomingMessage,
  reply: FinalReply,
): Effect.Effect<never, RequestRejected> {
  req.resume();
  const timer = setTimeout(() => req.destroy(), DISCARD_TIMEOUT_MS);
  req.on("close", () => clearTimeout(timer));
  return reject(reply);
}

function checkJsonObject(body: string): Effect.Effect<void, RequestRejected> {
  try {
    const value: unknown = JSON.parse(body);
    if (typeof value === "object" && value !== null) return Effect.void;
    const args = ["the value is not an object"];
    return reject(createNotRunReply(400, "malformedJson", { args }));
  } catch (err) {
    const args = [getErrorMessage(err)];
    return reject(createNotRunReply(400, "malformedJson", { args }));
  }
}
