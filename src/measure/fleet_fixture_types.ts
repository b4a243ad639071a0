/**
 * Types of the fleet fixture and its default times.
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
  /** Creates the policy of the hosts; the router's policy if absent. */
  readonly createPolicy?: CreatePolicy;
  /** Seed of the hosts' random choices; 1 if absent. */
  readonly seed?: number;
  /** One-way delay of a frame between hosts of a region. */
  readonly sameRegionDelayMs: number;
  /** One-way delay of a frame between hosts of different regions. */
  readonly crossRegionDelayMs: number;
  /** Time from the start of a request to its first token. */
  readonly firstTokenMs: number;
  /** Time from one token of a request to the next. */
  readonly tokenMs: number;
  /**
   * Time after which a request at a stalled upstream fails; without it, never.
   */
  readonly stallTimeoutMs?: number;
  /** Period in which a host flushes its queued frames. */
  readonly flushMs: number;
  /** Period in which a host exchanges its service counters. */
  readonly exchangeMs: number;
}

/** Times that are typical of a deployment. */
export const defaultFixtureTimes = {
  sameRegionDelayMs: 1.5,
  crossRegionDelayMs: 20,
  firstTokenMs: 100,
  tokenMs: 20,
  flushMs: 5,
  exchangeMs: 500,
} as const;

/** Bytes of the headers of a packet: IP, TCP and HTTP/2 frame. */
export const PACKET_BYTES = 60;

/** A request of the fixture, with its state and times. */
export interface FixtureRequest extends AdmittedRequest {
  readonly host: string;
  /** Actual cost in cost units, which hosts learn only at the end. */
  readonly cost: number;
  startedMs?: number;
  endedMs?: number;
  upstream?: string;
  state: "waiting" | "running" | "answered" | "failed" | "cancelled";
}

/** A call to submit at a host. */
export interface FixtureCall {
  readonly team: string;
  readonly service: string;
  readonly cost: number;
  /** Cost that the caller states; the service's expected cost if absent. */
  readonly costHint?: number;
  readonly timeoutMs?: number;
  /** Called when the request gets its slot. */
  onStart?(req: FixtureRequest): void;
  /** Called when the request has been answered, has failed or was cancelled. */
  onEnd?(req: FixtureRequest): void;
}

/** One host of the fixture. */
export interface FixtureHost {
  readonly id: string;
  readonly dataCentre: string;
  readonly fleet: Fleet;
  /** Queues a request, which ends by an answer, a failure or its time-out. */
  submit(call: FixtureCall): FixtureRequest;
  isUp(): boolean;
}

/** Frames between hosts, and their bytes, since the start. */
export interface ControlTraffic {
  readonly bytes: number;
  readonly frames: number;
  /** Bytes between regions; `bytes` includes them. */
  readonly crossRegionBytes: number;
  /** Payload bytes by kind of frame. */
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
  /** Service so far by team, in cost units, running requests included. */
  getService(service: string): ReadonlyMap<string, number>;
  getControlTraffic(): ControlTraffic;
  /** Bytes that the host has sent, packet headers included. */
  getSentBytes(host: string): number;
  /**
   * Partitions the regions or heals the partition. Frames in flight between the
   * regions are lost.
   */
  setPartitioned(isPartitioned: boolean): void;
  /** Kills the host; others see it as dead after `detectionMs`. */
  kill(host: string, detectionMs: number): void;
  /** Restarts the host without state; others see it after `detectionMs`. */
  restart(host: string, detectionMs: number): void;
  /**
   * Breaks every link of the host; frames in flight are lost, then it
   * reconnects.
   */
  breakLinks(host: string): void;
  /**
   * Pauses the host for `forMs`. Others see it as dead after `detectionMs`, and
   * as alive when it goes on.
   */
  pause(host: string, options: { forMs: number; detectionMs: number }): void;
}
