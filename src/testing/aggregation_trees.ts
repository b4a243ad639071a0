/**
 * The aggregation trees of a fleet for tests of what is sent along them. The
 * reports that shape the trees arrive at once.
 *
 * @module
 */

import type { Clock, ManualClock } from "../core/mod.ts";
import {
  type AggregationTree,
  createAggregationTree,
  type LoadPeer,
  type LoadScope,
} from "../load/mod.ts";

const ROUND_MS = 100;

/** The trees of all hosts, in the order of the hosts. */
export interface AggregationTrees {
  readonly trees: readonly AggregationTree[];
  /** Lets each host send its load reports once. */
  runRound(): void;
  /** Advances the clock, with a round in each period of the reports. */
  advance(ms: number): void;
}

/** Options of the trees. */
export interface AggregationTreesOptions {
  readonly clock: ManualClock;
  readonly peers: readonly LoadPeer[];
  /** All hosts if absent. */
  getAlive?(): readonly LoadPeer[];
}

/** Creates the trees of hosts that know each other. */
export function createAggregationTrees(
  { clock, peers, getAlive = () => peers }: AggregationTreesOptions,
): AggregationTrees {
  const trees = peers.map((self) =>
    createAggregationTree({ clock, self, getHosts: getAlive })
  );

  function send(
    { peerAddress: from, dataCentre }: LoadPeer,
    to: readonly string[],
    scope: LoadScope,
  ): void {
    const report = {
      from,
      dataCentre,
      scope,
      isWithdrawal: false,
    };
    for (const address of to) {
      const at = peers.findIndex((each) => each.peerAddress === address);
      trees[at]!.recordReport(report);
    }
  }

  function runRound(): void {
    for (const self of getAlive()) {
      const tree = trees[peers.indexOf(self)]!;
      if (!tree.isUsed()) continue;
      tree.update();
      const parent = tree.tryGetParent();
      if (parent !== undefined) send(self, [parent], "host");
      else send(self, tree.getOtherRoots(), "data-centre");
      send(self, tree.getChildren(), "fleet");
    }
  }

  return {
    trees,
    runRound,
    advance(ms) {
      for (let leftMs = ms; leftMs > 0; leftMs -= ROUND_MS) {
        clock.advance(Math.min(leftMs, ROUND_MS));
        runRound();
      }
    },
  };
}

/** Creates the tree of a host that knows no other. */
export function createLoneTree(clock: Clock, self: LoadPeer): AggregationTree {
  return createAggregationTree({ clock, self, getHosts: () => [self] });
}
