/**
 * Tells the other hosts what this one uses of the upstreams, many times a
 * second, and hears the same from them.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { LoadReport, LoadView } from "../load/mod.ts";
import { createLoadCodec, openDatagrams } from "../peers/mod.ts";
import { FLEET_NAME } from "./peers.ts";

/** What the exchange needs of the process. */
export interface LoadExchangeHost {
  readonly peerAddress: string;
  readonly view: LoadView;
  /** Peer addresses of the hosts that are alive, this one included. */
  getHosts(): readonly string[];
}

/** The exchange; runs until it is disposed of. */
export interface LoadExchange extends AsyncDisposable {
  readonly run: Effect.Effect<never>;
}

/** Between two reports in a small fleet, in ms. */
const MIN_PERIOD_MS = 100;

/**
 * Each host sends to all others: with more of them less often, so that a host
 * never sends over a hundred reports a second.
 */
const PERIOD_MS_PER_HOST = 10;

/** The port of reports is the one behind that of the membership. */
function getLoadAddress(peerAddress: string): string {
  const [ip, port] = peerAddress.split(":");
  return `${ip}:${Number(port) + 1}`;
}

/** Opens the socket. */
export async function openLoadExchange(
  host: LoadExchangeHost,
): Promise<LoadExchange> {
  const { peerAddress, view } = host;
  const socket = await openDatagrams<LoadReport>(getLoadAddress(peerAddress), {
    codec: createLoadCodec(FLEET_NAME),
    onMessage(report) {
      // What waits is looked at again by the clock: with 23 hosts there are a
      // hundred reports a second, and a look at a long queue costs milliseconds.
      view.receive(report);
    },
  });
  let wasIdle = false;

  /** An idle host says so once and is silent then. */
  function send(): number {
    const hosts = host.getHosts().filter((each) => each !== peerAddress);
    const report = view.createReport();
    const isIdle = report.upstreams.length === 0;
    if (!isIdle || !wasIdle) {
      socket.sendToAll(hosts.map(getLoadAddress), report);
    }
    wasIdle = isIdle;
    return Math.max(MIN_PERIOD_MS, hosts.length * PERIOD_MS_PER_HOST);
  }

  return {
    run: Effect.sync(send).pipe(
      Effect.flatMap((waitMs) => Effect.sleep(waitMs)),
      Effect.forever,
    ),
    [Symbol.asyncDispose]: () => socket[Symbol.asyncDispose](),
  };
}
