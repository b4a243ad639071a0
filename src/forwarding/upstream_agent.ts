/**
 * An HTTP agent with keep-alive connections to upstreams. It handles two cases
 * that Node's agent does not:
 *
 * - An upstream sends a second or a late response. It would wait in the idle
 *   connection and be read as the response to the next request. Therefore an
 *   idle connection on which data arrives is closed.
 * - An upstream closes an idle connection just as a request is written to it,
 *   and it is unknown whether the request ran. Therefore this side closes a
 *   connection well before the idle time that the upstream has stated.
 *
 * @module
 */

import { Agent, type ClientRequest, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Idle time-out, in ms, for connections whose upstream states none. */
const DEFAULT_IDLE_MS = 4_000;

/**
 * Margin, in ms, by which this side closes a connection earlier than the
 * upstream: covers unusually long network delays.
 */
const IDLE_MARGIN_MS = 700;

/** Longest idle time-out, in ms; a timer admits no number of any size. */
const MAX_IDLE_MS = 600_000;

/**
 * If the stated idle time is too short for the margin, this share of it is
 * used.
 */
const SHORT_IDLE_SHARE = 0.4;

interface AgentSocket extends Socket {
  _httpMessage?: ClientRequest & { readonly res?: IncomingMessage };
}

/** The methods of Node's agent that are meant to be overridden. */
interface KeepAliveAgent {
  keepSocketAlive(socket: AgentSocket): boolean;
  reuseSocket(socket: AgentSocket, req: ClientRequest): void;
}

/** Creates the agent of one process; `destroy` closes all its connections. */
export function createUpstreamAgent(): Agent {
  const agent = new Agent({
    keepAlive: true,
    scheduling: "lifo",
    timeout: DEFAULT_IDLE_MS,
  });
  const parent = Agent.prototype as unknown as KeepAliveAgent;

  function closeOnIdleData(this: AgentSocket): void {
    this.destroy();
  }

  const overrides: KeepAliveAgent = {
    keepSocketAlive(socket) {
      const idleMs = getIdleMs(socket._httpMessage?.res);
      if (idleMs <= 0 || !parent.keepSocketAlive.call(agent, socket)) {
        return false;
      }
      socket.setTimeout(idleMs);
      socket.on("data", closeOnIdleData);
      return true;
    },
    reuseSocket(socket, req) {
      socket.off("data", closeOnIdleData);
      socket.setTimeout(0);
      parent.reuseSocket.call(agent, socket, req);
    },
  };
  return Object.assign(agent, overrides);
}

/** Returns how long a connection may stay idle after the response, in ms. */
export function getIdleMs(res: IncomingMessage | undefined): number {
  const stated = /timeout=(\d+)/.exec(String(res?.headers["keep-alive"] ?? ""));
  if (stated === null) return DEFAULT_IDLE_MS;
  const statedMs = Math.min(Number(stated[1]) * 1_000, MAX_IDLE_MS);
  return Math.max(statedMs - IDLE_MARGIN_MS, statedMs * SHORT_IDLE_SHARE);
}
