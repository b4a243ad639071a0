import { deepStrictEqual, ok } from "node:assert";
import { test } from "node:test";
import { MAX_UPSTREAMS_PER_DATAGRAM } from "../load/mod.ts";
import { createUpstreamStatsCodec } from "./upstream_stats_codec.ts";

test("a full datagram is decoded as it was encoded, and takes less than 1,100 bytes", () => {
  // Guards against datagrams that are split into several IP packets, of which
  // each loss is a loss of the whole.
  const codec = createUpstreamStatsCodec("secret");
  const upstreams = new Map(
    Array.from({ length: MAX_UPSTREAMS_PER_DATAGRAM }, (_, at) => [
      0xffffffff - at,
      {
        limitTokens: 1_024 * at,
        answers: at,
        lateAnswers: at / 2,
        firstEvents: at / 4,
        predictedMs: 500 + at,
        tookMs: 600 + at,
        weightSteps: -at,
      },
    ]),
  );
  const report = {
    from: "255.255.255.255:65535",
    sequence: 2 ** 32 - 1,
    scope: "fleet",
    dataCentre: "a-data-centre-with-a-long-name",
    part: 20,
    parts: 21,
    ownSequence: 2 ** 32 - 1,
    upstreams,
  } as const;
  const bytes = codec.encode(report);
  ok(bytes.length < 1_100, `${bytes.length}`);
  deepStrictEqual(codec.tryDecode(bytes), report);
});
