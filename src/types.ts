/**
 * The data shapes that every subsystem shares: what operators declare, and what
 * a request is from its arrival to its end.
 *
 * @module
 */

/** How the system told the caller that the request ended. */
export type Outcome = "answered" | "not-run" | "may-have-run";

/** A team, which shares capacity with the others by weight. */
export interface Team {
  readonly id: string;
  /** Share relative to the other teams' weights. */
  readonly weight: number;
  /** SHA-256 of the team's key, in hexadecimal. */
  readonly keyDigest: string;
  /** Requests of this team that may wait at one host for one service. */
  readonly maxQueued: number;
}

/** One kind of call that a service offers. */
export interface Operation {
  readonly name: string;
  /** False: it may run at most once for each idempotency key. */
  readonly idempotent: boolean;
}

/** Engines stream their answers and resume them; plain services do not. */
export type ServiceKind = "engine" | "plain";

/** A service that callers name in their requests. */
export interface Service {
  readonly id: string;
  readonly kind: ServiceKind;
  readonly operations: readonly Operation[];
  /** Longest time from arrival to end that a caller may ask for, in ms. */
  readonly maxDeadlineMs: number;
  readonly maxBodyBytes: number;
  /** Cost assumed until a team's own costs are known (tokens or calls). */
  readonly expectedCost: number;
}

/** Whether an upstream refuses orders that carry an old fencing token. */
export type FencingKind = "checks" | "ignores";

/** A model engine or a replica of a plain service. */
export interface Upstream {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  /** IP address and port. */
  readonly address: string;
  /** Concurrency above which the adaptive limit never goes. */
  readonly maxSlots: number;
  readonly fencing: FencingKind;
  /** Model that it should have; absent when operators load models themselves. */
  readonly model?: string;
  /** Role that it should have; absent when it keeps its own. */
  readonly role?: string;
  /** From sending an order until it ended or shows in its state, in ms. */
  readonly longestOrderMs?: number;
}

/** A data centre and the region it lies in. */
export interface DataCentre {
  readonly id: string;
  readonly region: string;
}

/** All that operators declare; one immutable value for each version. */
export interface Deployment {
  readonly name: string;
  readonly dataCentres: readonly DataCentre[];
  readonly teams: readonly Team[];
  readonly services: readonly Service[];
  readonly upstreams: readonly Upstream[];
}

/** An accepted deployment with its place in the record. */
export interface ConfigVersion {
  readonly version: number;
  /** SHA-256 of the canonical files. */
  readonly digest: string;
  readonly parent: number;
  readonly author: string;
  readonly acceptedMs: number;
  readonly deployment: Deployment;
}

/** A request of a caller as admission and queueing see it. */
export interface AdmittedRequest {
  readonly id: string;
  readonly team: string;
  readonly service: string;
  readonly operation: string;
  /** Monotonic milliseconds. */
  readonly arrivedMs: number;
  /** Monotonic milliseconds after which the answer is of no use. */
  readonly deadlineMs: number;
  /** Expected cost in the service's unit. */
  readonly expectedCost: number;
  /** Digest of what the request asks for, without its id. */
  readonly fingerprint: string;
}

/** The end of a host that is stopping. */
export interface Ending {
  /** This host, or the origin that relays a connection to it. */
  readonly by: "self" | "origin";
  /**
   * Monotonic milliseconds at which it was told to stop, or this host learned of
   * the origin's stop.
   */
  readonly stoppedMs: number;
  /** Monotonic milliseconds at which the drain has to end, shortly before the exit. */
  readonly exitMs: number;
}

/** How much of its processor time a host uses. */
export interface ProcessorUse {
  /** Utilization of its event loop, from 0 to 1. */
  readonly utilization: number;
  /** Whether hosts near it have more connections than they accept in time. */
  readonly isShort: boolean;
}
