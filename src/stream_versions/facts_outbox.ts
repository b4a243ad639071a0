/**
 * Collects the facts that become due in one turn of the event loop, so that
 * those for one host share datagrams.
 *
 * Load: a second version appears, and hundreds of streams are told at once.
 * Failure prevented: a datagram for each of them, which overflow the sockets of
 * the hosts that read them.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";

/** The facts that are due. Disposal drops them, and those added after it. */
export interface FactsOutbox extends Disposable {
  add(peerAddress: string, fact: Fact): void;
}

/** Creates an outbox that sends the facts for one host together. */
export function createFactsOutbox(
  send: (facts: readonly Fact[], peerAddress: string) => void,
): FactsOutbox {
  const due = new Map<string, Fact[]>();
  let turn: NodeJS.Immediate | undefined;
  let isDisposed = false;

  function flush(): void {
    turn = undefined;
    const all = [...due];
    due.clear();
    for (const [peerAddress, facts] of all) send(facts, peerAddress);
  }

  return {
    add(peerAddress, fact) {
      // The answer to a question may become due when the sockets are closed.
      if (isDisposed) return;
      getOrCreate(due, peerAddress, (): Fact[] => []).push(fact);
      turn ??= setImmediate(flush);
    },
    [Symbol.dispose]() {
      isDisposed = true;
      clearImmediate(turn);
      due.clear();
    },
  };
}
