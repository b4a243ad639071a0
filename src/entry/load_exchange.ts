/**
 * Tells the other hosts what this one uses of the upstreams, many times a
 * second, and hears the same from them. Who tells whom is decided by
 * `load/load_reporter.ts`.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import {
  createLoadReporter,
  type LoadPeer,
  type LoadReport,
  type LoadView,
} from "../load/mod.ts";
import type { Clock } from "../core/mod.ts";
import { createLoadCodec, getNameDigest, openDatagrams } from "../peers/mod.ts";
import { FLEET_NAME } from "./peers.ts";

/** What the exchange needs of the process. */
export interface LoadExchangeHost {
  readonly clock: Clock;
  readonly self: LoadPeer;
  readonly view: LoadView;
  /** The hosts that are alive, this one included. */
  getHosts(): readonly LoadPeer[];
}

/** The exchange; runs until it is disposed of. */
export interface LoadExchange extends AsyncDisposable {
  readonly run: Effect.Effect<never>;
}

/** The port of reports is the one behind that of the membership. */
function getLoadAddress(peerAddress: string): string {
  const [ip, port] = peerAddress.split(":");
  return `${ip}:${Number(port) + 1}`;
}

/** Opens the socket. */
export async function openLoadExchange(
  host: LoadExchangeHost,
): Promise<LoadExchange> {
  const { view, self } = host;
  const sums = createLoadReporter({
    clock: host.clock,
    self,
    getHosts: host.getHosts,
    getDigest: getNameDigest,
    createOwnContent: view.createOwnContent,
    // What waits is looked at again by the clock: a look at a long queue costs
    // milliseconds, and reports come a hundred times a second.
    onOthersLoad: view.receive,
  });
  const socket = await openDatagrams<LoadReport>(
    getLoadAddress(self.peerAddress),
    { codec: createLoadCodec(FLEET_NAME), onMessage: sums.receive },
  );

  function send(): number {
    for (const { to, report } of sums.createReports()) {
      socket.sendToAll(to.map(getLoadAddress), report);
    }
    return sums.getPeriodMs();
  }

  return {
    run: Effect.sync(send).pipe(
      Effect.flatMap((waitMs) => Effect.sleep(waitMs)),
      Effect.forever,
    ),
    [Symbol.asyncDispose]: () => socket[Symbol.asyncDispose](),
  };
}
