/**
 * Resume tokens: name a stream at an upstream, signed by the fleet, so that any
 * host can go on with it and no team can reach another team's stream. A token
 * holds no key.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHmac } from "node:crypto";
import { isEqualInConstantTime } from "../core/mod.ts";

/** What a token names. */
export interface StreamReference {
  readonly team: string;
  readonly service: string;
  readonly upstream: string;
  /** Id of the stream at the upstream. */
  readonly stream: string;
  /** Host that began the stream; it gives the slot back and charges for it. */
  readonly host: string;
  /** Start of that host's process, in wall milliseconds. */
  readonly incarnation: number;
}

/** Makes the token of a stream. */
export function createResumeToken(
  reference: StreamReference,
  secret: string,
): string {
  const { team, service, upstream, stream, host, incarnation } = reference;
  const fields = [team, service, upstream, stream, host, incarnation];
  const payload = Buffer.from(JSON.stringify(fields)).toString("base64url");
  return `${payload}.${sign(payload, secret)}`;
}

/** The stream that a token names; `undefined` unless the fleet signed it. */
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

/** The purpose is signed too, so that no other signature passes for a token. */
function sign(payload: string, secret: string): string {
  return createHmac("sha256", secret).update(`resume-token\n${payload}`)
    .digest("base64url");
}
