/**
 * Finds the software version at which a stream goes on that a caller takes up:
 * by this host's memory, by the platform, or by other hosts.
 *
 * Load: callers take streams up at a host that is cut off from the platform or
 * from other hosts, or that has stood still. Failure prevented: it decides by
 * what was so before, or holds the callers up until it can decide.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import * as Latch from "effect/Latch";
import type { ServiceVersion, TableError } from "../discovery/mod.ts";
import {
  decideByAnswers,
  decideByOwn,
  decideByRead,
  type OwnKnowledge,
  type Watch,
} from "./decide_version.ts";
import type { SharedRead } from "./shared_read.ts";
import type { AskedHosts, FoundVersion, KeeperAnswer } from "./types.ts";
import type {
  AnsweringHost,
  QueryResult,
  VersionQuestion,
} from "./version_queries.ts";

/** The stream that a caller takes up. */
export interface TakenUpStream {
  /** Digest of the request that brought the first event, or one of its own. */
  readonly digest: string;
  /** Digest of the service. */
  readonly service: string;
  /** Whether the caller names the request that brought the first event. */
  readonly namesRequest: boolean;
}

/** Dependencies of the search. */
export interface VersionSearchHost {
  /** Versions of the service that this host knows. */
  getVersions(service: string): readonly string[];
  /** The stream's version by this host's memory. */
  tryGetRecorded(digest: string): string | undefined;
  getWatch(): Watch;
  /** Brings this host's table up to date, and returns what is on record. */
  readonly platform: SharedRead<readonly ServiceVersion[]>;
  /** The other hosts that keep where the stream began. */
  getKeepers(digest: string): readonly string[];
  /** The other hosts at which a stream may have begun of late. */
  getRecentHosts(): readonly string[];
  ask(
    question: VersionQuestion,
    peers: readonly string[],
  ): Effect.Effect<QueryResult>;
}

/** The search, and what this host answers to that of another. */
export interface VersionSearch {
  find(stream: TakenUpStream): Effect.Effect<FoundVersion>;
  /** Answers another host by a read of the platform that begins now. */
  confirm(stream: TakenUpStream): Effect.Effect<KeeperAnswer, TableError>;
}

/**
 * Time after which other hosts are asked while the platform has not answered, in
 * ms. They are asked at once where it did not answer the last time.
 */
const ASK_AFTER_MS = 150;

/** Time after which a stream that is not certain is refused, in ms. */
const FIND_LIMIT_MS = 400;

/** Number of answers that are named in the log. */
const MAX_LOGGED_ANSWERS = 3;

const NOBODY: AskedHosts = { asked: 0, answered: 0 };

/** Creates the search of one host. */
export function createVersionSearch(host: VersionSearchHost): VersionSearch {
  function getOwn(
    { digest, service, namesRequest }: TakenUpStream,
    onRecord: readonly ServiceVersion[] = [],
  ): OwnKnowledge {
    const recorded = onRecord.filter((each) => each.service === service)
      .map((each) => each.version);
    const versions = new Set([...host.getVersions(service), ...recorded]);
    return {
      versions: [...versions],
      recorded: host.tryGetRecorded(digest),
      namesRequest,
    };
  }

  function ask(
    { digest, service }: TakenUpStream,
    { peers, confirmers, getVersions }: {
      readonly peers: readonly string[];
      readonly confirmers: readonly string[];
      getVersions(): readonly string[];
    },
  ): Effect.Effect<FoundVersion> {
    return host.ask({ digest, service, confirmers }, peers).pipe(
      Effect.map(({ asked, answers }) => {
        const versions = getVersions();
        const decided = decideByAnswers({
          ...host.getWatch(),
          versions,
          asked,
          answers: answers.map((each) => each.answer),
        });
        const summary = { asked, ...summarize(answers) };
        return { ...decided, versions: versions.length, ...summary };
      }),
    );
  }

  /** Asks where the stream began, of which several versions may be. */
  function askKeepers(
    stream: TakenUpStream,
    versions: readonly string[],
  ): Effect.Effect<FoundVersion> {
    const peers = host.getKeepers(stream.digest);
    return ask(stream, {
      peers,
      confirmers: [],
      getVersions: () => versions,
    });
  }

  /** Asks all whether there is a single version. */
  function askAll(stream: TakenUpStream): Effect.Effect<FoundVersion> {
    return ask(stream, {
      peers: host.getRecentHosts(),
      confirmers: host.getKeepers(stream.digest),
      getVersions: () => getOwn(stream).versions,
    });
  }

  function findByRead(
    stream: TakenUpStream,
    onRecord: readonly ServiceVersion[],
  ): Effect.Effect<FoundVersion> {
    const own = getOwn(stream, onRecord);
    const decided = decideByRead(own);
    if (decided.kind === "ask") return askKeepers(stream, own.versions);
    const versions = own.versions.length;
    return Effect.succeed({ ...decided, versions, ...NOBODY });
  }

  /** Makes certain that the version which this host knows is the only one. */
  function makeCertain(stream: TakenUpStream): Effect.Effect<FoundVersion> {
    const { platform } = host;
    const isDue = Latch.makeUnsafe(platform.isFailing());
    let last: FoundVersion = { kind: "unknown", versions: 1, ...NOBODY };
    const byPlatform = platform.get.pipe(
      Effect.tapError(() => isDue.open),
      Effect.flatMap((onRecord) => findByRead(stream, onRecord)),
    );
    const byHosts = Effect.raceFirst(
      Effect.sleep(ASK_AFTER_MS),
      isDue.await,
    ).pipe(
      Effect.andThen(Effect.suspend(() => askAll(stream))),
      Effect.flatMap((found) => {
        last = found;
        return found.kind === "found"
          ? Effect.succeed(found)
          : Effect.fail("uncertain" as const);
      }),
    );
    return Effect.race(byPlatform, byHosts).pipe(
      Effect.timeoutOrElse({
        duration: FIND_LIMIT_MS,
        orElse: () => Effect.fail("uncertain" as const),
      }),
      Effect.catch(() => Effect.sync(() => last)),
    );
  }

  return {
    find: (stream) =>
      Effect.suspend(() => {
        const own = getOwn(stream);
        const decided = decideByOwn(own);
        if (decided.kind === "ask") return askKeepers(stream, own.versions);
        if (decided.kind === "confirm") return makeCertain(stream);
        const versions = own.versions.length;
        return Effect.succeed({ ...decided, versions, ...NOBODY });
      }),
    confirm: (stream) =>
      host.platform.get.pipe(Effect.map((onRecord): KeeperAnswer => {
        const decided = decideByRead(getOwn(stream, onRecord));
        if (decided.kind !== "found") return { kind: "not-known" };
        const { version, from } = decided;
        return {
          kind: from === "own" ? "known" : "confirmed-version",
          version,
        };
      })),
  };
}

function summarize(
  answers: readonly AnsweringHost[],
): Pick<AskedHosts, "answered" | "answers"> {
  const answered = answers.length;
  if (answered === 0) return { answered };
  const named = answers.slice(0, MAX_LOGGED_ANSWERS)
    .map(({ from, answer }) => ({ from, said: answer.kind }));
  return { answered, answers: named };
}
