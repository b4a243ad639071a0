/**
 * Requests that wait at this host for a slot of one service, in one queue for
 * each team. A request stays at the host to which its caller is connected;
 * hosts exchange only the number of waiting requests.
 *
 * Load: one team sends far more than the others, and thousands of callers
 * cancel at the same time. Harm prevented: in a common queue the requests of
 * that team would delay those of all other teams, and a cancellation that
 * searches the queue would, with ten thousand waiting requests, block the
 * process for seconds. Each queue is therefore a doubly linked list with an
 * index by request: adding, taking and removing take constant time.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { AdmittedRequest } from "../types.ts";

/** A waiting request, with the function that receives its slot. */
export interface QueuedRequest<S> {
  readonly req: AdmittedRequest;
  /**
   * Called with the slot, after the request has been taken out of the queue.
   */
  readonly start: (slot: S) => void;
}

/** The team queues of one service at this host. */
export interface TeamQueues<S> {
  add(queued: QueuedRequest<S>): void;
  /** Removes a request; false when it was no longer in the queue. */
  remove(req: AdmittedRequest): boolean;
  /** Removes and returns the oldest request of the team. */
  tryTake(team: string): QueuedRequest<S> | undefined;
  getCount(team: string): number;
  getTotal(): number;
  /** Number of waiting requests by team; teams without any are omitted. */
  getCounts(): ReadonlyMap<string, number>;
  /** Arrival of the oldest waiting request, in monotonic milliseconds. */
  tryGetOldestArrivalMs(): number | undefined;
  /** Arrival of the oldest waiting request of one team. */
  tryGetTeamOldestArrivalMs(team: string): number | undefined;
}

interface Node<S> {
  readonly queued: QueuedRequest<S>;
  previous: Node<S> | undefined;
  next: Node<S> | undefined;
}

interface Queue<S> {
  first: Node<S> | undefined;
  last: Node<S> | undefined;
  count: number;
}

/** Creates empty queues. */
export function createTeamQueues<S>(): TeamQueues<S> {
  const queues = new Map<string, Queue<S>>();
  const nodes = new Map<AdmittedRequest, Node<S>>();

  function unlink(node: Node<S>): void {
    const { team } = node.queued.req;
    const queue = queues.get(team)!;
    if (node.previous === undefined) queue.first = node.next;
    else node.previous.next = node.next;
    if (node.next === undefined) queue.last = node.previous;
    else node.next.previous = node.previous;
    queue.count--;
    nodes.delete(node.queued.req);
    if (queue.count === 0) queues.delete(team);
  }

  return {
    add(queued) {
      const queue = getOrCreate(queues, queued.req.team, createQueue<S>);
      const node = { queued, previous: queue.last, next: undefined };
      if (queue.last === undefined) queue.first = node;
      else queue.last.next = node;
      queue.last = node;
      queue.count++;
      nodes.set(queued.req, node);
    },
    remove(req) {
      const node = nodes.get(req);
      if (node === undefined) return false;
      unlink(node);
      return true;
    },
    tryTake(team) {
      const first = queues.get(team)?.first;
      if (first === undefined) return undefined;
      unlink(first);
      return first.queued;
    },
    getCount: (team) => queues.get(team)?.count ?? 0,
    getTotal: () => nodes.size,
    getCounts: () =>
      new Map([...queues].map(([team, queue]) => [team, queue.count])),
    tryGetTeamOldestArrivalMs: (team) =>
      queues.get(team)?.first?.queued.req.arrivedMs,
    tryGetOldestArrivalMs() {
      let oldest: number | undefined;
      for (const queue of queues.values()) {
        const { arrivedMs } = queue.first!.queued.req;
        if (oldest === undefined || arrivedMs < oldest) oldest = arrivedMs;
      }
      return oldest;
    },
  };
}

function createQueue<S>(): Queue<S> {
  return { first: undefined, last: undefined, count: 0 };
}
