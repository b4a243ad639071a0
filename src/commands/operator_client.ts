/**
 * Client of a router's `/ops/` endpoints for the operators' programs.
 *
 * @module
 */

import * as Data from "effect/Data";
import type { ExitName } from "./exit_codes.ts";

/** Thrown if a router refuses a call or can't be reached. */
export class OperatorCallError extends Data.TaggedError("OperatorCallError")<{
  /** HTTP status; 0 if there was no response. */
  readonly status: number;
  readonly reason: string;
  /** The decoded body of the response; empty if there was none. */
  readonly answer: unknown;
}> {
  override get message(): string {
    return this.reason;
  }
}

/** Calls one router as an operator. */
export interface OperatorClient {
  readonly address: string;
  get<T>(path: string): Promise<T>;
  post<T>(path: string, body: unknown): Promise<T>;
}

/**
 * Bounds each call, since a connection can stop responding without an error.
 */
const CALL_TIMEOUT_MS = 5_000;

/** Makes a client of the router at the public address. */
export function createOperatorClient(
  address: string,
  key: string,
): OperatorClient {
  async function call<T>(path: string, init: RequestInit): Promise<T> {
    const res = await fetch(`http://${address}${path}`, {
      ...init,
      headers: { authorization: `Bearer ${key}` },
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    }).catch((err) => {
      throw createUnreachableError(address, err);
    });
    const text = await res.text().catch((err) => {
      throw createUnreachableError(address, err);
    });
    const value = parseResponse<T>(text);
    if (res.ok && value !== undefined) return value;
    const reason = value?.message ??
      `The router at ${address} answered with status ${res.status}`;
    throw new OperatorCallError({
      status: res.status,
      reason,
      answer: value ?? {},
    });
  }

  return {
    address,
    get: (path) => call(path, { method: "GET" }),
    post: (path, body) =>
      call(path, { method: "POST", body: JSON.stringify(body) }),
  };
}

function parseResponse<T>(text: string): T & { message?: string } | undefined {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function createUnreachableError(
  address: string,
  err: unknown,
): OperatorCallError {
  const cause = err instanceof Error && err.cause instanceof Error
    ? err.cause
    : err;
  const why = cause instanceof Error ? cause.message : String(cause);
  const reason = `The router at ${address} can't be reached: ${why}`;
  return new OperatorCallError({ status: 0, reason, answer: {} });
}

const statusExits: Readonly<Record<number, ExitName>> = {
  0: "unreachable",
  400: "usage",
  401: "keyRefused",
  403: "keyRefused",
  404: "notFound",
  409: "conflict",
};

/** The exit of a program that fails with the error. */
export function getExitName(err: OperatorCallError): ExitName {
  return statusExits[err.status] ?? "failed";
}
