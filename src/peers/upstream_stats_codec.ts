/**
 * The codec of the datagrams with statistics of single upstreams. Each upstream
 * takes 32 bytes: a digest and seven floats of 32 bits, in parallel lists.
 *
 * Load: an aggregator that sends 65 hosts the statistics of 600 upstreams, in
 * datagrams that differ only in the round of the receiver's own report.
 *
 * Failure prevented: encoding the same lists for each host would block the
 * event loop. They are encoded once per round, and the other fields per host.
 * Two encoded messages of Protocol Buffers joined are one with the fields of
 * both.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { UpstreamStatsReportSchema } from "../generated/peer_pb.ts";
import type { UpstreamStatsReport } from "../load/upstream_stats_reporter.ts";
import type { StatsByUpstream } from "../load/upstream_stats_totals.ts";
import type { UpstreamStats } from "../pacing/mod.ts";
import { createAuthenticatedCodec, type DatagramCodec } from "./datagrams.ts";
import { fromWireScope, toWireScope } from "./load_codec.ts";

const FIELDS = [
  "limitTokens",
  "answers",
  "lateAnswers",
  "firstEvents",
  "predictedMs",
  "tookMs",
  "weightSteps",
] as const satisfies readonly (keyof UpstreamStats)[];

type StatsLists = { readonly [Field in typeof FIELDS[number]]: number[] };

/** Creates the codec for the fleet with this secret. */
export function createUpstreamStatsCodec(
  secret: string,
): DatagramCodec<UpstreamStatsReport> {
  const encodedLists = new WeakMap<StatsByUpstream, Uint8Array>();

  function encodeLists(upstreams: StatsByUpstream): Uint8Array {
    const known = encodedLists.get(upstreams);
    if (known !== undefined) return known;
    const lists = { ...toLists(upstreams), upstreams: [...upstreams.keys()] };
    const bytes = toBinary(
      UpstreamStatsReportSchema,
      create(UpstreamStatsReportSchema, lists),
    );
    encodedLists.set(upstreams, bytes);
    return bytes;
  }

  return createAuthenticatedCodec(secret, {
    encode({ upstreams, scope, ...others }) {
      const head = toBinary(
        UpstreamStatsReportSchema,
        create(UpstreamStatsReportSchema, {
          ...others,
          scope: toWireScope[scope],
        }),
      );
      return Buffer.concat([head, encodeLists(upstreams)]);
    },
    decode(bytes) {
      const wire = fromBinary(UpstreamStatsReportSchema, bytes);
      const scope = fromWireScope.get(wire.scope);
      if (scope === undefined) throw new TypeError("Unknown load scope");
      const { from, sequence, dataCentre, part, parts, ownSequence } = wire;
      return {
        from,
        sequence,
        scope,
        dataCentre,
        part,
        parts,
        ownSequence,
        upstreams: fromLists(wire.upstreams, wire),
      };
    },
  });
}

function toLists(upstreams: StatsByUpstream): StatsLists {
  const all = [...upstreams.values()];
  const getList = (field: typeof FIELDS[number]) =>
    all.map((each) => each[field]);
  return {
    limitTokens: getList("limitTokens"),
    answers: getList("answers"),
    lateAnswers: getList("lateAnswers"),
    firstEvents: getList("firstEvents"),
    predictedMs: getList("predictedMs"),
    tookMs: getList("tookMs"),
    weightSteps: getList("weightSteps"),
  };
}

function fromLists(
  upstreams: readonly number[],
  lists: StatsLists,
): StatsByUpstream {
  for (const field of FIELDS) {
    if (lists[field].length !== upstreams.length) {
      throw new TypeError(`List of "${field}" has another length`);
    }
  }
  return new Map(upstreams.map((upstream, at) => [upstream, {
    limitTokens: lists.limitTokens[at]!,
    answers: lists.answers[at]!,
    lateAnswers: lists.lateAnswers[at]!,
    firstEvents: lists.firstEvents[at]!,
    predictedMs: lists.predictedMs[at]!,
    tookMs: lists.tookMs[at]!,
    weightSteps: lists.weightSteps[at]!,
  }]));
}
