/**
 * The codec of the load reports between hosts. Names are encoded as digests of
 * four bytes. Two upstreams with the same digest are counted as one, which with
 * 1,000 upstreams happens in one of 10,000 fleets.
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
import { createAuthenticatedCodec, type DatagramCodec } from "./datagrams.ts";

/** The scopes of reports as numbers on the wire. */
export const toWireScope: Readonly<Record<LoadScope, WireScope>> = {
  "host": WireScope.HOST,
  "data-centre": WireScope.DATA_CENTRE,
  "fleet": WireScope.FLEET,
};

/** The reverse of `toWireScope`. */
export const fromWireScope = new Map<WireScope, LoadScope>(
  Object.entries(toWireScope).map((
    [scope, wire],
  ) => [wire, scope as LoadScope]),
);

/** Creates the codec for the fleet with this secret. */
export function createLoadCodec(secret: string): DatagramCodec<LoadReport> {
  return createAuthenticatedCodec(secret, {
    encode: (report) =>
      toBinary(LoadReportSchema, create(LoadReportSchema, toWire(report))),
    decode(bytes) {
      const wire = fromBinary(LoadReportSchema, bytes);
      const scope = fromWireScope.get(wire.scope);
      if (scope === undefined) throw new TypeError("Unknown load scope");
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
/** Maximum number of cached digests; the whole cache is cleared beyond it. */
const MAX_CACHED_DIGESTS = 8_192;

const digests = new Map<string, number>();

/** The digest that represents a name in load reports. */
export function getNameDigest(name: string): number {
  if (digests.size >= MAX_CACHED_DIGESTS) digests.clear();
  return getOrCreate(
    digests,
    name,
    () => createHash("sha1").update(name).digest().readUInt32BE(0),
  );
}
