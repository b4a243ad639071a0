/**
 * Resume tokens: identify a stream at an upstream and are signed with the
 * fleet's secret. Any host can resume the stream, and no team can access
 * another team's stream. A token contains no key.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHmac } from "node:crypto";
import { isEqualInConstantTime } from "../core/mod.ts";

/** Identity of a stream, as encoded in its resume token. */
export interface StreamReference {
  readonly team: string;
  readonly service: string;
  readonly upstream: string;
  /** Id of the stream at the upstream. */
  readonly stream: string;
  /** Host that opened the stream; it releases the slot and charges the team. */
  readonly host: string;
  /** Start of that host's process, in wall milliseconds. */
  readonly incarnation: number;
}

/** Creates the signed token of a stream. */
export function createResumeToken(
  reference: StreamReference,
  secret: string,
): string {
  const { team, service, upstream, stream, host, incarnation } = reference;
  const fields = [team, service, upstream, stream, host, incarnation];
  const payload = Buffer.from(JSON.stringify(fields)).toString("base64url");
  return `${payload}.${sign(payload, secret)}`;
}

/** Decodes a token; `undefined` unless it was signed with the secret. */
export function tryVerifyResumeToken(
  token: string,
  secret: string,
): StreamReference | undefined {
  const [payload = "", signature = ""] = token.split(".");
  if (!isEqualInConstantTime(signature, sign(payload, secret))) {
    return undefined;
  }
  const fields = JSON.parse(Buffer.from(payload, "base64url").toString("utf8"));
  const [team, service, upstream, stream, host, incarnation] = fields;
  return { team, service, upstream, stream, host, incarnation };
}

/** The purpose is signed too, so that other signatures are not valid tokens. */
function sign(payload: string, secret: string): string {
  return createHmac("sha256", secret).update(`resume-token\n${payload}`)
    .digest("base64url");
}
