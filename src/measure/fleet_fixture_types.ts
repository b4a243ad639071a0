/**
 * The shapes of the fixture: what it is made from, and what can be done with it.
 *
 * @module
 */

import type { Fleet } from "../fleet/mod.ts";
import type { AdmittedRequest, Deployment } from "../types.ts";
import type { VirtualScheduler } from "./virtual_scheduler.ts";
import type { CreatePolicy } from "./baselines.ts";
import type { FakeUpstream } from "./fake_upstream.ts";

/** Sizes and times of a fixture; times in milliseconds. */
export interface FleetFixtureOptions {
  readonly deployment: Deployment;
  readonly hosts: number;
  /** The decisions; those of the router when absent. */
  readonly createPolicy?: CreatePolicy;
  /** Seed of what hosts pick at random; 1 when absent. */
  readonly seed?: number;
  /** One way, within a data centre and between those of a region. */
  readonly sameRegionDelayMs: number;
  /** One way, between regions. */
  readonly crossRegionDelayMs: number;
  /** Until the first token of an answer. */
  readonly firstTokenMs: number;
  /** From token to token of one answer. */
  readonly tokenMs: number;
  /** A request held by a stalled upstream fails after so long; never if absent. */
  readonly stallTimeoutMs?: number;
  readonly flushMs: number;
  readonly exchangeMs: number;
}

/** Times of today's deployments. */
export const defaultFixtureTimes = {
  sameRegionDelayMs: 1.5,
  crossRegionDelayMs: 20,
  firstTokenMs: 100,
  tokenMs: 20,
  flushMs: 5,
  exchangeMs: 500,
} as const;

/** Bytes of a packet around its payload: IP, TCP and HTTP/2 frame. */
export const PACKET_BYTES = 60;

/** A request of the fixture with what becomes of it. */
export interface FixtureRequest extends AdmittedRequest {
  readonly host: string;
  /** Cost that shows only at the end, in cost units. */
  readonly cost: number;
  startedMs?: number;
  endedMs?: number;
  upstream?: string;
  state: "waiting" | "running" | "answered" | "failed" | "cancelled";
}

/** What a caller asks for. */
export interface FixtureCall {
  readonly team: string;
  readonly service: string;
  readonly cost: number;
  /** Cost told at arrival; the service's expected cost when absent. */
  readonly costHint?: number;
  readonly timeoutMs?: number;
  /** Called when the request gets its slot. */
  onStart?(req: FixtureRequest): void;
  /** Called when the request ended, however it ended. */
  onEnd?(req: FixtureRequest): void;
}

/** One host of the fixture. */
export interface FixtureHost {
  readonly id: string;
  readonly dataCentre: string;
  readonly fleet: Fleet;
  /** Queues a request; it ends by answer, failure or its timeout. */
  submit(call: FixtureCall): FixtureRequest;
  isUp(): boolean;
}

/** Bytes and frames of control since the start. */
export interface ControlTraffic {
  readonly bytes: number;
  readonly frames: number;
  /** Bytes between regions, contained in `bytes`. */
  readonly crossRegionBytes: number;
  readonly byKind: ReadonlyMap<string, number>;
}

/** The fleet of the fixture. */
export interface FleetFixture {
  readonly scheduler: VirtualScheduler;
  readonly deployment: Deployment;
  readonly hosts: readonly FixtureHost[];
  getHost(id: string): FixtureHost;
  getUpstream(id: string): FakeUpstream;
  /** Requests submitted so far, in order of arrival. */
  getRequests(): readonly FixtureRequest[];
  /** Service so far by team, in cost units, as the tokens stream. */
  getService(service: string): ReadonlyMap<string, number>;
  getControlTraffic(): ControlTraffic;
  /** Bytes sent by one host, packets included. */
  getSentBytes(host: string): number;
  /** Cuts or heals every link between the regions, frames in flight too. */
  setPartitioned(isPartitioned: boolean): void;
  /** Kills the host: its frames stop; others see it dead after `detectionMs`. */
  kill(host: string, detectionMs: number): void;
  /** Starts the host anew and empty; others see it after `detectionMs`. */
  restart(host: string, detectionMs: number): void;
  /** Breaks every link of the host: frames in flight are lost, then it redials. */
  breakLinks(host: string): void;
  /** Stops the host for so long; others see it dead and alive again. */
  pause(host: string, options: { forMs: number; detectionMs: number }): void;
}
