/**
 * Sends this host's statistics of single upstreams to the other hosts once per
 * second, and receives theirs. The reporter of `load/` decides which host
 * reports to which.
 *
 * @module
 */

import { offsetPort, PORT_OFFSETS } from "../core/mod.ts";
import * as Effect from "effect/Effect";
import {
  STATS_PERIOD_MS,
  type UpstreamStatsReport,
  type UpstreamStatsReporter,
} from "../load/mod.ts";
import { createUpstreamStatsCodec, openDatagrams } from "../peers/mod.ts";
import { FLEET_NAME } from "./peers.ts";

/** Dependencies of the exchange. */
export interface UpstreamStatsExchangeHost {
  readonly peerAddress: string;
  readonly reporter: UpstreamStatsReporter;
  /** Called before each round. */
  onRound(): void;
  /** Called with what can't be handled or sent. */
  readonly onFailed: (reason: string) => void;
}

/** The exchange; sends datagrams while `run` runs. */
export interface UpstreamStatsExchange extends AsyncDisposable {
  readonly run: Effect.Effect<never>;
}

function getStatsAddress(peerAddress: string): string {
  return offsetPort(peerAddress, PORT_OFFSETS.upstreamStats);
}

/** Opens the socket; statistics from other hosts go to the reporter. */
export async function openUpstreamStatsExchange(
  { peerAddress, reporter, onRound, onFailed }: UpstreamStatsExchangeHost,
): Promise<UpstreamStatsExchange> {
  const socket = await openDatagrams<UpstreamStatsReport>(
    getStatsAddress(peerAddress),
    {
      codec: createUpstreamStatsCodec(FLEET_NAME),
      onMessage: reporter.receive,
      onFailed,
    },
  );

  function runRound(): void {
    onRound();
    for (const { to, report } of reporter.createReports()) {
      socket.sendToAll(to.map(getStatsAddress), report);
    }
  }

  return {
    run: Effect.sync(runRound).pipe(
      Effect.andThen(Effect.sleep(STATS_PERIOD_MS)),
      Effect.forever,
    ),
    [Symbol.asyncDispose]: () => socket[Symbol.asyncDispose](),
  };
}
