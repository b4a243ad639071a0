/**
 * Asks other hosts at which software version streams began, and waits for their
 * answers.
 *
 * Load: all callers of a lost host take up their streams at once, while the
 * hosts that are asked are slow, cut off or gone.
 *
 * Failures prevented: a request waits for hosts that never answer; each request
 * has timers of its own; a caller that has left is still asked for.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { type Clock, getOrCreate } from "../core/mod.ts";
import type { KeeperAnswer } from "./types.ts";

/** What is asked. */
export interface VersionQuestion {
  /** Digest of the request that brought the first event. */
  readonly digest: string;
  /** Digest of the service. */
  readonly service: string;
  /** Those of the hosts that are to ask the platform before they answer. */
  readonly confirmers: readonly string[];
}

/** What came of a question. */
export interface QueryResult {
  /** Number of hosts that were asked. */
  readonly asked: number;
  readonly answers: readonly AnsweringHost[];
}

/** Dependencies of the queries. */
export interface VersionQueriesHost {
  readonly clock: Clock;
  send(question: VersionQuestion, peerAddress: string): void;
}

/** An answer, and the host that gave it. */
export interface AnsweringHost {
  readonly from: string;
  readonly answer: KeeperAnswer;
}

/** The questions of one host. */
export interface VersionQueries {
  /**
   * Asks the hosts. Ends with the first answer that names the stream's version
   * or is confirmed, or once all have answered and no confirmation is awaited, or
   * after `ASK_LIMIT_MS`. Interruption drops it.
   */
  ask(
    question: VersionQuestion,
    peers: readonly string[],
  ): Effect.Effect<QueryResult>;
  receive(digest: string, answered: AnsweringHost): void;
  /** Asks again and ends what is due; must be called many times per second. */
  tick(): void;
  /** Number of questions that wait for answers. */
  getCount(): number;
}

/** Time after which those that have not answered are asked again, in ms. */
const ASK_AGAIN_MS = 60;

/** Time after which nothing more is awaited, in ms. */
const ASK_LIMIT_MS = 200;

/** Limit on the questions that wait; further ones end without an answer. */
const MAX_QUERIES = 2_000;

interface Query {
  readonly question: VersionQuestion;
  readonly peers: readonly string[];
  readonly answers: Map<string, KeeperAnswer>;
  /** Monotonic milliseconds. */
  readonly askedMs: number;
  isRepeated: boolean;
  end(result: QueryResult): void;
}

/** Creates queries of which none waits. */
export function createVersionQueries(host: VersionQueriesHost): VersionQueries {
  const queries = new Set<Query>();
  const byDigest = new Map<string, Set<Query>>();

  function add(query: Query): void {
    queries.add(query);
    getOrCreate(byDigest, query.question.digest, () => new Set<Query>())
      .add(query);
  }

  function remove(query: Query): void {
    const { digest } = query.question;
    const same = byDigest.get(digest);
    queries.delete(query);
    same?.delete(query);
    if (same?.size === 0) byDigest.delete(digest);
  }

  function end(query: Query): void {
    remove(query);
    query.end({
      asked: query.peers.length,
      answers: [...query.answers].map(([from, answer]) => ({ from, answer })),
    });
  }

  function sendMissing({ question, peers, answers }: Query): void {
    for (const peer of peers) {
      if (!answers.has(peer)) host.send(question, peer);
    }
  }

  function mayEnd({ question, peers, answers }: Query): boolean {
    const kinds = [...answers.values()].map((each) => each.kind);
    if (
      kinds.some((each) => each === "known" || each === "confirmed-version")
    ) {
      return true;
    }
    const awaitsNone = question.confirmers.length === 0 ||
      kinds.every((each) => each === "single-version");
    return awaitsNone && peers.every((peer) => answers.has(peer));
  }

  return {
    ask: (question, peers) =>
      Effect.callback<QueryResult>((resume) => {
        const query: Query = {
          question,
          peers,
          answers: new Map(),
          askedMs: host.clock.monotonicMs(),
          isRepeated: false,
          end: (result) => resume(Effect.succeed(result)),
        };
        if (peers.length === 0 || queries.size >= MAX_QUERIES) {
          end(query);
          return;
        }
        add(query);
        sendMissing(query);
        return Effect.sync(() => remove(query));
      }),
    receive(digest, { from, answer }) {
      for (const query of [...byDigest.get(digest) ?? []]) {
        query.answers.set(from, answer);
        if (mayEnd(query)) end(query);
      }
    },
    tick() {
      const nowMs = host.clock.monotonicMs();
      for (const query of [...queries]) {
        const waitedMs = nowMs - query.askedMs;
        if (waitedMs >= ASK_LIMIT_MS) end(query);
        else if (waitedMs >= ASK_AGAIN_MS && !query.isRepeated) {
          query.isRepeated = true;
          sendMissing(query);
        }
      }
    },
    getCount: () => queries.size,
  };
}
