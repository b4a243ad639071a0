/**
 * The facts by which hosts tell and ask each other at which software version a
 * stream began. Requests and services are named by digests, so that no fact is
 * longer than this host decides.
 *
 * @module
 */

import { getDigest } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import type { ServiceVersion } from "../discovery/mod.ts";
import type { KeeperAnswer } from "./types.ts";

/** Key prefix of the facts from one host to another. */
export const STREAM_KEY_PREFIX = "stream/";

/** Key prefix of the facts to all hosts about the versions of a service. */
export const VERSION_KEY_PREFIX = "stream-version/";

/** What one host says to another. */
export type StreamMessage =
  | {
    readonly kind: "begun";
    readonly digest: string;
    readonly version: string;
  }
  /** To "confirm" is to ask the platform first, unless the stream is known. */
  | {
    readonly kind: "ask" | "confirm";
    readonly digest: string;
    /** Digest of the service. */
    readonly service: string;
    /** Peer address to which the answer goes. */
    readonly from: string;
  }
  | {
    readonly kind: "answer";
    readonly digest: string;
    readonly from: string;
    readonly answer: KeeperAnswer;
  };

/** Characters of a digest: two requests hardly ever share one. */
const DIGEST_CHARS = 16;

/** Minutes for which a host believes what another says of the versions. */
const MAX_AGE_MINUTES = 1;

const MINUTE_MS = 60_000;

/** Names a request or a service in a fact. */
export function getShortDigest(text: string): string {
  return getDigest(text).slice(0, DIGEST_CHARS);
}

/** Creates the fact that carries the message. */
export function createStreamFact(message: StreamMessage): Fact {
  const key = `${STREAM_KEY_PREFIX}${message.kind}/${message.digest}`;
  return { key, version: 1, value: getValue(message) };
}

function getValue(message: StreamMessage): string {
  switch (message.kind) {
    case "begun":
      return message.version;
    case "ask":
    case "confirm":
      return `${message.from} ${message.service}`;
    case "answer": {
      const { answer } = message;
      const version = "version" in answer ? answer.version : "";
      return `${message.from} ${answer.kind} ${version}`;
    }
  }
}

/** Parses a fact created by `createStreamFact`; `undefined` for another text. */
export function tryParseStreamFact(fact: Fact): StreamMessage | undefined {
  const [kind, digest] = fact.key.slice(STREAM_KEY_PREFIX.length).split("/");
  if (digest === undefined || digest === "") return undefined;
  if (kind === "begun") return { kind, digest, version: fact.value };
  const [from, rest] = splitFirst(fact.value);
  if (rest === undefined) return undefined;
  if (kind === "ask" || kind === "confirm") {
    return { kind, digest, from, service: rest };
  }
  if (kind !== "answer") return undefined;
  const answer = tryParseAnswer(rest);
  return answer && { kind, digest, from, answer };
}

function tryParseAnswer(text: string): KeeperAnswer | undefined {
  const [kind, version] = splitFirst(text);
  if (kind === "not-known") return { kind };
  if (version === undefined) return undefined;
  switch (kind) {
    case "known":
    case "single-version":
    case "confirmed-version":
      return { kind, version };
  }
  return undefined;
}

/** Splits at the first space: a version may contain more of them. */
function splitFirst(text: string): readonly [string, string | undefined] {
  const space = text.indexOf(" ");
  if (space < 0) return [text, undefined];
  return [text.slice(0, space), text.slice(space + 1)];
}

/**
 * Creates the fact that the version of a service is there. Hosts that see it
 * within the same minute create the same fact, which is passed on once.
 */
export function createVersionFact(
  { service, version }: ServiceVersion,
  wallMs: number,
): Fact {
  return {
    key: `${VERSION_KEY_PREFIX}${service}/${version}`,
    version: Math.floor(wallMs / MINUTE_MS),
    value: "",
  };
}

/**
 * Parses a fact created by `createVersionFact`; `undefined` for another text,
 * and for one that is old: facts are kept for long and passed on to new hosts.
 */
export function tryParseVersionFact(
  fact: Fact,
  wallMs: number,
): ServiceVersion | undefined {
  const ageMinutes = Math.floor(wallMs / MINUTE_MS) - fact.version;
  if (ageMinutes > MAX_AGE_MINUTES) return undefined;
  const text = fact.key.slice(VERSION_KEY_PREFIX.length);
  const slash = text.indexOf("/");
  if (slash <= 0) return undefined;
  return { service: text.slice(0, slash), version: text.slice(slash + 1) };
}
