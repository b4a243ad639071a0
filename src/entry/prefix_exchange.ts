/**
 * Announces this host's placements of shared prefixes to the other hosts, and
 * receives theirs. The announcer of `prefixes/` decides which host announces to
 * which.
 *
 * @module
 */

import { offsetPort, PORT_OFFSETS } from "../core/mod.ts";
import { createPlacementCodec, openDatagrams } from "../peers/mod.ts";
import {
  ANNOUNCEMENT_ROUND_MS,
  type PlacementAnnouncer,
  type PlacementReport,
} from "../prefixes/mod.ts";
import { FLEET_NAME } from "./peers.ts";
import { startTicker } from "./ticker.ts";

/** Dependencies of the exchange. */
export interface PrefixExchangeHost {
  readonly peerAddress: string;
  readonly announcer: PlacementAnnouncer;
  /** Called with what can't be handled or sent. */
  readonly onFailed: (reason: string) => void;
}

function getPlacementAddress(peerAddress: string): string {
  return offsetPort(peerAddress, PORT_OFFSETS.placements);
}

/** Opens the socket and runs rounds until disposed of. */
export async function openPrefixExchange(
  { peerAddress, announcer, onFailed }: PrefixExchangeHost,
): Promise<AsyncDisposable> {
  const socket = await openDatagrams<PlacementReport>(
    getPlacementAddress(peerAddress),
    {
      codec: createPlacementCodec(FLEET_NAME),
      onMessage: announcer.receive,
      onFailed,
    },
  );

  function runRound(): void {
    for (const { to, report } of announcer.createReports()) {
      socket.sendToAll(to.map(getPlacementAddress), report);
    }
  }

  const ticker = startTicker(ANNOUNCEMENT_ROUND_MS, { decide: runRound });
  return {
    async [Symbol.asyncDispose]() {
      ticker[Symbol.dispose]();
      await socket[Symbol.asyncDispose]();
    },
  };
}
