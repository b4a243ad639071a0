/**
 * Reports of load between hosts, with the generated codec. Names travel as
 * digests of four bytes: two upstreams with the same one are counted as one,
 * which at a thousand of them happens once in ten thousand fleets.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { getOrCreate } from "../core/mod.ts";
import { LoadReportSchema } from "../generated/peer_pb.ts";
import type { LoadReport } from "../load/types.ts";
import { createSealedCodec, type DatagramCodec } from "./datagrams.ts";

/** Makes the codec of the fleet of the secret. */
export function createLoadCodec(secret: string): DatagramCodec<LoadReport> {
  return createSealedCodec(secret, {
    encode: (report) =>
      toBinary(LoadReportSchema, create(LoadReportSchema, toWire(report))),
    decode(bytes) {
      const { from, sequence, upstreams, teams } = fromBinary(
        LoadReportSchema,
        bytes,
      );
      return { from, sequence, upstreams, teams };
    },
  });
}

function toWire(report: LoadReport) {
  return {
    ...report,
    upstreams: [...report.upstreams],
    teams: [...report.teams],
  };
}

/** Names kept with their digests; more are forgotten all at once. */
const MAX_NAMES = 8_192;

const digests = new Map<string, number>();

/** The digest by which a name travels. */
export function getNameDigest(name: string): number {
  if (digests.size >= MAX_NAMES) digests.clear();
  return getOrCreate(
    digests,
    name,
    () => createHash("sha1").update(name).digest().readUInt32BE(0),
  );
}
