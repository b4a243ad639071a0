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
import {
  type LearnedOfService as WireLearned,
  LoadReportSchema,
  LoadScope as WireScope,
} from "../generated/peer_pb.ts";
import type { LearnedOfService, LoadReport, LoadScope } from "../load/types.ts";
import { EMPTY_FIRST_EVENT_SUMS } from "../pacing/mod.ts";
import { createSealedCodec, type DatagramCodec } from "./datagrams.ts";

const toWireScope: Readonly<Record<LoadScope, WireScope>> = {
  "host": WireScope.HOST,
  "data-centre": WireScope.DATA_CENTRE,
  "fleet": WireScope.FLEET,
};

const fromWireScope = new Map<WireScope, LoadScope>(
  Object.entries(toWireScope).map((
    [scope, wire],
  ) => [wire, scope as LoadScope]),
);

/** Makes the codec of the fleet of the secret. */
export function createLoadCodec(secret: string): DatagramCodec<LoadReport> {
  return createSealedCodec(secret, {
    encode: (report) =>
      toBinary(LoadReportSchema, create(LoadReportSchema, toWire(report))),
    decode(bytes) {
      const wire = fromBinary(LoadReportSchema, bytes);
      const scope = fromWireScope.get(wire.scope);
      if (scope === undefined) throw new TypeError("Unknown scope");
      return { ...wire, scope, learned: wire.learned.map(fromWireLearned) };
    },
  });
}

function fromWireLearned(wire: WireLearned): LearnedOfService {
  return { ...wire, firstEvents: wire.firstEvents ?? EMPTY_FIRST_EVENT_SUMS };
}

function toWire(report: LoadReport) {
  return {
    ...report,
    scope: toWireScope[report.scope],
    upstreams: [...report.upstreams],
    teams: [...report.teams],
    included: [...report.included],
    learned: [...report.learned],
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
