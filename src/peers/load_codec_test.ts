import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import type { UpstreamUse } from "../load/types.ts";
import { createLoadCodec } from "./load_codec.ts";

test("all counts of an upstream's use survive encoding and decoding", () => {
  const codec = createLoadCodec("secret");
  const use: UpstreamUse = {
    upstream: 7,
    inFlight: 1,
    readingTokens: 2,
    underserved: 3,
    underservedTokens: 9_000,
    yieldingTokens: 5_000,
  };
  const bytes = codec.encode({
    from: "host-1",
    sequence: 1,
    upstreams: [use],
    teams: [],
    learned: [],
    hosts: 1,
    scope: "host",
    dataCentre: "one",
    included: [],
  });
  const [decoded] = codec.tryDecode(bytes)?.upstreams ?? [];
  const { $typeName: _, ...fields } = decoded as typeof use & {
    readonly $typeName: string;
  };
  deepStrictEqual(fields, use);
});
