/**
 * The facts by which hosts tell each other of crash events.
 *
 * @module
 */

import type { Fact } from "../membership/mod.ts";
import type { CrashEvent } from "./types.ts";

/** Key prefix of these facts; the subject and the process's key follow. */
export const CRASH_KEY_PREFIX = "crash/";

/** A refutation replaces the event, as the fact with the higher version. */
const VERSIONS: Readonly<Record<CrashEvent["state"], number>> = {
  counted: 1,
  refuted: 2,
};

/** Creates the fact that carries the event. */
export function createCrashFact(event: CrashEvent): Fact {
  return {
    key: `${CRASH_KEY_PREFIX}${event.subject}/${event.process}`,
    version: VERSIONS[event.state],
    value: String(event.atMs),
  };
}

/** Parses a fact created by `createCrashFact`; `undefined` for another text. */
export function tryParseCrashFact(fact: Fact): CrashEvent | undefined {
  const text = fact.key.slice(CRASH_KEY_PREFIX.length);
  const slash = text.indexOf("/");
  const atMs = Number(fact.value);
  if (slash <= 0 || !Number.isFinite(atMs)) return undefined;
  return {
    subject: text.slice(0, slash),
    process: text.slice(slash + 1),
    atMs,
    state: fact.version >= VERSIONS.refuted ? "refuted" : "counted",
  };
}
