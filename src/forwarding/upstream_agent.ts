/**
 * Kept connections to upstreams, with what Node's agent leaves open.
 *
 * Failures guarded against:
 * - An upstream sends a second answer after the first, or a late one. It lies in
 *   the idle connection and would be read as the answer to the next request. So
 *   an idle connection on which anything arrives is closed.
 * - An upstream closes an idle connection just as a request is written to it;
 *   whether that request ran can't be known. So a connection is closed here
 *   well before the time that the upstream has stated.
 *
 * @module
 */

import { Agent, type ClientRequest, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** An idle connection without a stated time is closed after so long, in ms. */
const DEFAULT_IDLE_MS = 4_000;

/** Closed so long before the upstream does it, in ms: a slow day's delays. */
const IDLE_MARGIN_MS = 700;

/** Where the stated time is shorter than the margin allows, this share of it. */
const SHORT_IDLE_SHARE = 0.4;

interface AgentSocket extends Socket {
  _httpMessage?: ClientRequest & { readonly res?: IncomingMessage };
}

/** Typed as the part of Node's agent that is made for overriding. */
interface KeepAliveAgent {
  keepSocketAlive(socket: AgentSocket): boolean;
  reuseSocket(socket: AgentSocket, req: ClientRequest): void;
}

/** Makes the agent of one process; `destroy` closes all connections. */
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

/** How long a connection may be kept idle after the answer, in ms. */
export function getIdleMs(res: IncomingMessage | undefined): number {
  const stated = /timeout=(\d+)/.exec(String(res?.headers["keep-alive"] ?? ""));
  if (stated === null) return DEFAULT_IDLE_MS;
  const statedMs = Number(stated[1]) * 1_000;
  return Math.max(statedMs - IDLE_MARGIN_MS, statedMs * SHORT_IDLE_SHARE);
}
