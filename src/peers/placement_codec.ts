/**
 * The codec of the datagrams with placements of shared prefixes. Each placement
 * takes 8 bytes: two digests, in parallel lists. If two prefixes have the same
 * digest, a prompt may go to an upstream that prefills its prefix again; with
 * 20,000 prefixes this concerns one pair in one of 20 fleets.
 *
 * @module
 */

import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { PlacementReportSchema } from "../generated/peer_pb.ts";
import type { PlacementReport } from "../prefixes/types.ts";
import { createAuthenticatedCodec, type DatagramCodec } from "./datagrams.ts";
import { fromWireScope, toWireScope } from "./load_codec.ts";

/** Creates the codec for the fleet with this secret. */
export function createPlacementCodec(
  secret: string,
): DatagramCodec<PlacementReport> {
  return createAuthenticatedCodec(secret, {
    encode: ({ scope, placements }) =>
      toBinary(
        PlacementReportSchema,
        create(PlacementReportSchema, {
          scope: toWireScope[scope],
          prefixes: placements.map((each) => each.prefix),
          upstreams: placements.map((each) => each.upstream),
        }),
      ),
    decode(bytes) {
      const wire = fromBinary(PlacementReportSchema, bytes);
      const { prefixes, upstreams } = wire;
      const scope = fromWireScope.get(wire.scope);
      if (scope === undefined) throw new TypeError("Unknown scope");
      if (prefixes.length !== upstreams.length) {
        throw new TypeError("Lists differ in length");
      }
      const placements = prefixes.map((prefix, at) => ({
        prefix,
        upstream: upstreams[at]!,
      }));
      return { scope, placements };
    },
  });
}
