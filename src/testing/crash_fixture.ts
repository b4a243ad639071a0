/**
 * Hosts with a crash watch each, whose messages arrive at once or are lost.
 *
 * @module
 */

import { createManualClock, type ManualClock } from "../core/mod.ts";
import {
  type ConnectResult,
  type CrashWatch,
  createCrashWatch,
  type UpstreamProcess,
} from "../crashes/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import type { Fact } from "../membership/mod.ts";

/** The hosts and the messages between them. */
export interface CrashFixture {
  readonly clock: ManualClock;
  readonly hosts: readonly CrashWatch[];
  readonly log: readonly Decision[];
  /** Datagrams that each host has sent. */
  readonly sent: readonly number[];
  /** Advances the clock, with the ticks of all hosts. */
  advance(ms: number): void;
  /** Loses the datagrams to the host from now on. */
  cutOff(host: number): void;
  /** Sets which hosts each host knows besides itself. */
  setKnown(isKnown: (by: number, other: number) => boolean): void;
}

/** Options of the fixture. */
export interface CrashFixtureOptions {
  readonly hosts: number;
  /** Result of a connection attempt; by default it says nothing. */
  tryConnect?(address: string): Promise<ConnectResult>;
}

/** Time between two ticks, in ms. */
const TICK_MS = 100;

/** Creates hosts that know each other. */
export function createCrashFixture(
  { hosts: count, tryConnect }: CrashFixtureOptions,
): CrashFixture {
  const clock = createManualClock(1_000_000);
  const log: Decision[] = [];
  const names = Array.from({ length: count }, (_, host) => `host-${host}`);
  const isCutOff = new Set<string>();
  const sent = names.map(() => 0);
  let isKnown = (_by: number, _other: number) => true;

  function deliver(to: string, run: (host: CrashWatch) => void): void {
    if (!isCutOff.has(to)) run(hosts[names.indexOf(to)]!);
  }

  /** Gossip is sent with other datagrams, so that it costs none. */
  function gossip(from: number, fact: Fact): void {
    for (const to of names) {
      if (to !== names[from]) deliver(to, (host) => host.receiveFact(fact));
    }
  }

  function broadcast(from: number, fact: Fact): void {
    sent[from]! += names.length - 1;
    gossip(from, fact);
  }

  function send(from: number, facts: readonly Fact[], to: string): void {
    sent[from]!++;
    deliver(to, (host) => facts.forEach(host.receiveReport));
  }

  const hosts: CrashWatch[] = names.map((self, from) =>
    createCrashWatch({
      clock,
      self,
      getHosts: () =>
        names.filter((_, other) => other === from || isKnown(from, other)),
      sendFacts: (facts, to) => send(from, facts, to),
      broadcastFact: (fact) => broadcast(from, fact),
      gossipFact: (fact) => gossip(from, fact),
      tryConnect: tryConnect ?? (() => Promise.resolve("failed")),
      onAsked: () => {},
      log: (decision) => log.push(decision),
    })
  );

  return {
    clock,
    hosts,
    log,
    sent,
    advance(ms) {
      for (let at = 0; at < ms; at += TICK_MS) {
        clock.advance(TICK_MS);
        for (const host of hosts) host.tick();
      }
    },
    cutOff: (host) => void isCutOff.add(names[host]!),
    setKnown: (next) => isKnown = next,
  };
}

/** Creates an upstream process with this id. */
export function createProcess(id: string, incarnation = 1): UpstreamProcess {
  return { id, incarnation, address: `${id}:8022` };
}

/** Lets the subjects crash the upstream, as the host sees it. */
export function crash(
  host: CrashWatch,
  upstream: UpstreamProcess,
  ...contents: readonly string[]
): void {
  for (const content of contents) host.recordCutOff(upstream, content);
  host.recordUnreachable(upstream, true);
}
