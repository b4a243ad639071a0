/**
 * Bounds the requests of all connections that wait behind another one of their
 * connection (pipelining).
 *
 * Load: callers that send hundreds of requests on each of hundreds of
 * connections and read nothing. Failure prevented: each request takes memory
 * until its response has been sent, which is after all earlier ones; the process
 * exceeds its memory, or its heap, and ends with all that it serves.
 *
 * A rejection would have to wait behind the earlier responses too, and so take
 * memory as well. Without room the connection of the next such request is closed,
 * and none that is read from it afterwards runs. So is a connection that takes
 * half of the room alone. One read brings hundreds of requests, and those of a
 * closed connection are freed only after all that is ready has been read: as many
 * as there is room for, then nothing is read until they are freed.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { onResponseClosed } from "../requests/caller.ts";
import { getMaxHeldBytes } from "./held_memory.ts";

/** The requests that wait behind others. */
export interface PipelinedRequests {
  /**
   * Must be called for each request. Returns `false` if it must not run, since
   * its connection has been closed.
   */
  accept(req: IncomingMessage, res: ServerResponse): boolean;
}

/** Dependencies of the bound. */
export interface PipelinedRequestsHost {
  /** Most such requests, those of closed connections included. */
  readonly maxWaiting: number;
  /** Reads no more requests until what was closed is freed. */
  pauseReading(): void;
  /** Called when a connection with so many such requests is closed. */
  onDropped(requests: number): void;
}

/** What a request takes while it waits, besides its body, in bytes. */
const PIPELINED_REQUEST_BYTES = 16 * 1024;

/** Share of the room above which a connection alone is the cause of the lack. */
const MAX_CONNECTION_SHARE = 1 / 2;

/** Returns how many such requests a host with this memory has room for. */
export function getMaxPipelined(hostMemoryBytes: number): number {
  return getMaxHeldBytes(hostMemoryBytes) / PIPELINED_REQUEST_BYTES;
}

/** Creates the bound of a host without connections. */
export function createPipelinedRequests(
  host: PipelinedRequestsHost,
): PipelinedRequests {
  /** The latest response on each connection. */
  const latest = new WeakMap<Socket, ServerResponse>();
  /** Requests of each connection that wait behind another one. */
  const waiting = new Map<Socket, number>();
  let total = 0;
  /** Requests of closed connections since reading was paused last. */
  let unfreed = 0;

  function change(socket: Socket, by: 1 | -1): void {
    const count = (waiting.get(socket) ?? 0) + by;
    if (count > 0) waiting.set(socket, count);
    else waiting.delete(socket);
    total += by;
  }

  function drop(socket: Socket): void {
    host.onDropped(waiting.get(socket) ?? 0);
    socket.destroy();
  }

  function dropLargest(): void {
    for (const [socket, count] of waiting) {
      const isLarge = count > host.maxWaiting * MAX_CONNECTION_SHARE;
      if (isLarge && !socket.destroyed) return drop(socket);
    }
  }

  function countUnfreed(): void {
    unfreed++;
    if (unfreed < host.maxWaiting) return;
    unfreed = 0;
    host.pauseReading();
  }

  return {
    accept(req, res) {
      const { socket } = req;
      if (socket.destroyed) {
        countUnfreed();
        return false;
      }
      const earlier = latest.get(socket);
      latest.set(socket, res);
      if (earlier === undefined || earlier.writableFinished) return true;
      if (total >= host.maxWaiting) {
        drop(socket);
        dropLargest();
        countUnfreed();
        return false;
      }
      change(socket, 1);
      onResponseClosed(res, () => change(socket, -1));
      return true;
    },
  };
}
