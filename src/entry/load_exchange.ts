/**
 * Sends this host's use of the upstreams to the other hosts many times per
 * second, and receives theirs. The load reporter of `load/` decides which host
 * reports to which.
 *
 * @module
 */

import { offsetPort, PORT_OFFSETS } from "../core/mod.ts";
import * as Effect from "effect/Effect";
import {
  type AggregationTree,
  createLoadReporter,
  type LoadPeer,
  type LoadReport,
  type LoadView,
} from "../load/mod.ts";
import type { Clock } from "../core/mod.ts";
import { createLoadCodec, getNameDigest, openDatagrams } from "../peers/mod.ts";
import { FLEET_NAME } from "./peers.ts";

/** Dependencies of the load exchange. */
export interface LoadExchangeHost {
  readonly clock: Clock;
  readonly self: LoadPeer;
  readonly view: LoadView;
  readonly tree: AggregationTree;
  /** The hosts that are alive, including this one. */
  getHosts(): readonly LoadPeer[];
  /** Called with what can't be handled or sent. */
  readonly onFailed: (reason: string) => void;
}

/** The load exchange; sends reports while `run` runs. */
export interface LoadExchange extends AsyncDisposable {
  readonly run: Effect.Effect<never>;
}

function getLoadAddress(peerAddress: string): string {
  return offsetPort(peerAddress, PORT_OFFSETS.loadReports);
}

/** Opens the socket; reports received from other hosts go to the load view. */
export async function openLoadExchange(
  host: LoadExchangeHost,
): Promise<LoadExchange> {
  const { view, self, tree } = host;
  const reporter = createLoadReporter({
    clock: host.clock,
    self,
    tree,
    getHosts: host.getHosts,
    getDigest: getNameDigest,
    createOwnContent: view.createOwnContent,
    // Received reports do not trigger a scheduling pass; the timer does. A pass
    // over a long queue takes milliseconds, and reports arrive a hundred times
    // per second.
    onOthersLoad: view.receive,
  });
  const socket = await openDatagrams<LoadReport>(
    getLoadAddress(self.peerAddress),
    {
      codec: createLoadCodec(FLEET_NAME),
      onMessage: reporter.receive,
      onFailed: host.onFailed,
    },
  );

  function send(): number {
    for (const { to, report } of reporter.createReports()) {
      socket.sendToAll(to.map(getLoadAddress), report);
    }
    return tree.getPeriodMs();
  }

  return {
    run: Effect.sync(send).pipe(
      Effect.flatMap((waitMs) => Effect.sleep(waitMs)),
      Effect.forever,
    ),
    [Symbol.asyncDispose]: () => socket[Symbol.asyncDispose](),
  };
}
