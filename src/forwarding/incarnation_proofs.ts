/**
 * Proves that a connection ends at the incarnation of an upstream that its entry
 * names.
 *
 * Load: upstreams break off and are back at once, under their ids and addresses
 * and maybe with other software, while their entries still name the earlier
 * incarnation.
 *
 * Failures prevented: a stream goes on at another software version than it
 * began at, or is recorded at one at which it did not begin.
 *
 * A connection ends at one process, and an incarnation that has ended never
 * comes back. So an incarnation that answers a request made after a connection
 * was there is also where the connection ends, unless it has broken. One report
 * proves all connections that are older than its request.
 *
 * @module
 */

import { type Clock, dropOldest } from "../core/mod.ts";
import type { DecisionLog } from "../diagnostics/mod.ts";
import type { UpstreamEntry } from "../discovery/mod.ts";
import type { UpstreamReport } from "./types.ts";

/** A report, and the connection on which it arrived. */
export interface ReceivedReport {
  readonly report: UpstreamReport;
  readonly connection?: object | undefined;
}

/** What is known of the incarnations at the ends of connections. */
export interface IncarnationProofs {
  /** Whether another incarnation serves there than the entry names. */
  isSuperseded(upstream: UpstreamEntry): boolean;
  /**
   * Returns whether the connection is proven to end where the entry says; asks
   * the upstream if that isn't known. To be called once the connection is there.
   */
  prove(
    upstream: UpstreamEntry,
    connection: object,
  ): boolean | Promise<boolean>;
}

/** Dependencies of the proofs. */
export interface IncarnationProofsHost {
  readonly clock: Clock;
  /** Never rejects. */
  readReport(address: string): Promise<ReceivedReport>;
  log: DecisionLog["write"];
}

/** What is known of one incarnation of an upstream. */
interface Proof {
  readonly incarnation: number;
  /** Whether the upstream, also as an earlier incarnation, has reported once. */
  hasReported: boolean;
  state: "possible" | "superseded" | "not-offered";
  /** Monotonic time in ms of the latest request that it has answered. */
  provenMs: number;
  running:
    | { readonly sinceMs: number; readonly end: Promise<void> }
    | undefined;
  /** Resolves with the end of the report after the one that runs. */
  next: Promise<void> | undefined;
}

/** Limit on the upstreams that are remembered; the oldest is forgotten. */
const MAX_UPSTREAMS = 5_000;

/** Incarnation of an upstream whose entry names none. */
const UNNAMED = 0;

/** Creates the proofs of a host that has none. */
export function createIncarnationProofs(
  host: IncarnationProofsHost,
): IncarnationProofs {
  const { clock } = host;
  const proofs = new Map<string, Proof>();
  /** Monotonic times in ms from which on each connection was there. */
  const connectedMs = new WeakMap<object, number>();

  function getProof({ id, incarnation }: UpstreamEntry): Proof {
    const known = proofs.get(id);
    if (known?.incarnation === incarnation) return known;
    const created: Proof = {
      incarnation,
      hasReported: known?.hasReported ?? false,
      state: "possible",
      provenMs: -Infinity,
      running: undefined,
      next: undefined,
    };
    proofs.set(id, created);
    dropOldest(proofs, MAX_UPSTREAMS);
    return created;
  }

  function getConnectedMs(connection: object): number {
    const known = connectedMs.get(connection);
    if (known !== undefined) return known;
    const nowMs = clock.monotonicMs();
    connectedMs.set(connection, nowMs);
    return nowMs;
  }

  async function read(
    upstream: UpstreamEntry,
    proof: Proof,
    sinceMs: number,
  ): Promise<void> {
    const received = await host.readReport(upstream.address);
    proof.running = undefined;
    apply(proof, received, sinceMs);
    const { id: upstreamId, incarnation } = upstream;
    host.log({
      event: "upstream-reported",
      upstream: upstreamId,
      incarnation,
      tookMs: Math.round(clock.monotonicMs() - sinceMs),
      report: received.report,
    });
  }

  function apply(
    proof: Proof,
    { report, connection }: ReceivedReport,
    sinceMs: number,
  ): void {
    switch (report.kind) {
      case "unknown":
        return;
      case "not-offered":
        if (!proof.hasReported) proof.state = "not-offered";
        return;
      case "incarnation":
        proof.hasReported = true;
        if (report.incarnation !== proof.incarnation) {
          proof.state = "superseded";
          return;
        }
        proof.provenMs = Math.max(proof.provenMs, sinceMs);
        if (connection !== undefined) connectedMs.set(connection, sinceMs);
    }
  }

  function start(upstream: UpstreamEntry, proof: Proof): Promise<void> {
    const sinceMs = clock.monotonicMs();
    const end = read(upstream, proof, sinceMs);
    proof.running = { sinceMs, end };
    return end;
  }

  /** One report runs at a time, so that connections that follow share one. */
  function ask(
    upstream: UpstreamEntry,
    proof: Proof,
    sinceMs: number,
  ): Promise<void> {
    const { running } = proof;
    if (running === undefined) return start(upstream, proof);
    if (running.sinceMs >= sinceMs) return running.end;
    proof.next ??= running.end.then(() => {
      proof.next = undefined;
      return start(upstream, proof);
    });
    return proof.next;
  }

  /** `undefined` if only a report can tell. */
  function tryDecide(proof: Proof, sinceMs: number): boolean | undefined {
    if (proof.state === "superseded") return false;
    if (proof.state === "not-offered") return true;
    return proof.provenMs >= sinceMs ? true : undefined;
  }

  return {
    isSuperseded: ({ id, incarnation }) => {
      const known = proofs.get(id);
      return known?.incarnation === incarnation && known.state === "superseded";
    },
    prove(upstream, connection) {
      if (upstream.incarnation === UNNAMED) return true;
      const proof = getProof(upstream);
      const sinceMs = getConnectedMs(connection);
      return tryDecide(proof, sinceMs) ??
        ask(upstream, proof, sinceMs)
          .then(() => tryDecide(proof, sinceMs) ?? false);
    },
  };
}
