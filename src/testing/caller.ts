/**
 * A caller that behaves as the documentation asks: it queries `/where`, caches
 * the hosts for their time to live, connects to one of them, and checks that
 * each response is complete and belongs to the request.
 *
 * @module
 */

import { createParser } from "eventsource-parser";
import type { Outcome } from "../types.ts";
import { getTeamKey } from "./fleet_processes.ts";

/** A request of the caller. */
export interface CallerRequest {
  readonly team: string;
  readonly service: string;
  readonly operation: string;
  /** Identifies the content; each token of the response repeats it. */
  readonly tag: string;
  /** Length of the response in tokens; 0 for a call to a plain service. */
  readonly tokens: number;
  readonly idempotencyKey: string;
  readonly timeoutMs: number;
  /** Text of the request; a marker in it crashes a fake engine. */
  readonly prompt?: string;
}

/**
 * How the request ended for the caller. "lost": its connection closed before a
 * final response. "silent": the request, or the query of `/where` before it,
 * timed out.
 */
export interface CallerResult {
  /** Public address of the host; empty if none could be chosen. */
  readonly address: string;
  /** The id that the system gave the request; empty if none was received. */
  readonly request: string;
  /** Delay from `Retry-After`, in ms; 0 without the header. */
  readonly retryAfterMs: number;
  readonly outcome: Outcome | "lost" | "silent";
  readonly status: number;
  readonly firstByteMs: number;
  readonly totalMs: number;
  /** What is wrong with the response's content; empty if nothing. */
  readonly fault: string;
  readonly detail: string;
}

/** Sends requests of all teams through the hosts that `/where` names. */
export interface Caller {
  send(req: CallerRequest): Promise<CallerResult>;
}

/** Time after its deadline until a request times out at the caller, in ms. */
const RESPONSE_GRACE_MS = 10_000;

interface CachedHosts {
  readonly addresses: readonly string[];
  readonly expiresMs: number;
}

/** Limits a query to a seed that is partitioned or paused, in ms. */
const WHERE_TIMEOUT_MS = 2_000;

/** Chooses the advertised addresses that a team's callers use. */
export type ChooseHosts = (
  team: string,
  addresses: readonly string[],
) => readonly string[];

/** Creates a caller that queries `/where` at the seed addresses. */
export function createCaller(
  seeds: readonly string[],
  random: () => number,
  options: { choose?: ChooseHosts } = {},
): Caller {
  const cachedHosts = new Map<string, CachedHosts>();

  function pick(addresses: readonly string[]): string {
    return addresses[Math.floor(random() * addresses.length)]!;
  }

  /** Tries the seeds one after the other, since some may be down. */
  async function fetchHosts(
    team: string,
  ): Promise<{ seed: string; res: Response }> {
    const first = pick(seeds);
    const order = [first, ...seeds.filter((seed) => seed !== first)];
    let failure: unknown;
    for (const seed of order) {
      try {
        const res = await fetch(`http://${seed}/where`, {
          headers: { authorization: `Bearer ${getTeamKey(team)}` },
          signal: AbortSignal.timeout(WHERE_TIMEOUT_MS),
        });
        if (res.ok) return { seed, res };
        failure = `Status ${res.status} from ${seed}`;
      } catch (err) {
        failure = err;
      }
    }
    throw failure;
  }

  async function chooseAddress(team: string): Promise<string> {
    const cached = cachedHosts.get(team);
    if (cached !== undefined && Date.now() < cached.expiresMs) {
      return pick(cached.addresses);
    }
    const { seed, res } = await fetchHosts(team);
    const body = await res.json() as {
      ttlMs: number;
      hosts: { address: string }[];
    };
    const advertised = body.hosts.map((host) => host.address)
      .filter((address) => address !== "");
    const addresses = options.choose?.(team, advertised) ?? advertised;
    cachedHosts.set(team, { addresses, expiresMs: Date.now() + body.ttlMs });
    return pick(addresses.length > 0 ? addresses : [seed]);
  }

  return {
    async send(req) {
      const startMs = performance.now();
      let address = "";
      try {
        address = await chooseAddress(req.team);
        return await sendTo(address, req, startMs);
      } catch (err) {
        cachedHosts.delete(req.team);
        return {
          address,
          request: "",
          retryAfterMs: 0,
          outcome: isTimeout(err) ? "silent" : "lost",
          status: 0,
          firstByteMs: 0,
          totalMs: performance.now() - startMs,
          fault: "",
          detail: String(err),
        };
      }
    },
  };
}

async function sendTo(
  address: string,
  req: CallerRequest,
  startMs: number,
): Promise<CallerResult> {
  const { tag, tokens, timeoutMs } = req;
  const res = await fetch(
    `http://${address}/v1/${req.service}/${req.operation}`,
    {
      method: "POST",
      headers: {
        authorization: `Bearer ${getTeamKey(req.team)}`,
        "content-type": "application/json",
        "azurestile-timeout-ms": String(timeoutMs),
        ...(req.idempotencyKey === ""
          ? {}
          : { "idempotency-key": req.idempotencyKey }),
      },
      body: JSON.stringify({ tag, tokens, prompt: req.prompt ?? "" }),
      signal: AbortSignal.timeout(timeoutMs + RESPONSE_GRACE_MS),
    },
  );
  const firstByteMs = performance.now() - startMs;
  const text = await res.text();
  const totalMs = performance.now() - startMs;
  const times = {
    address,
    request: res.headers.get("azurestile-request") ?? "",
    retryAfterMs: Number(res.headers.get("retry-after") ?? 0) * 1000,
    firstByteMs,
    totalMs,
    status: res.status,
  };
  const isStream = res.headers.get("content-type") === "text/event-stream";
  if (isStream) return { ...times, ...validateStream(text, req) };
  const outcome = res.headers.get("azurestile-outcome") as Outcome | null;
  if (outcome === "answered") {
    const fault = text.includes(`"key":"${req.idempotencyKey}"`)
      ? ""
      : "The response belongs to another request";
    return { ...times, outcome, fault, detail: "" };
  }
  return { ...times, outcome: outcome ?? "lost", fault: "", detail: text };
}

function isTimeout(err: unknown): boolean {
  return err instanceof Error && err.name === "TimeoutError";
}

/** Checks that every token of this request arrived once and in order. */
function validateStream(
  text: string,
  req: CallerRequest,
): Pick<CallerResult, "outcome" | "fault" | "detail"> {
  let nextToken = 0;
  let fault = "";
  let end: { outcome: Outcome } | undefined;
  const parser = createParser({
    onEvent(event) {
      if (event.event === "end") {
        end = JSON.parse(event.data);
        return;
      }
      const expected = JSON.stringify({ text: `${req.tag}:${nextToken} ` });
      if (fault === "" && event.data !== expected) {
        fault = `Expected ${expected}, got ${event.data}`;
      }
      nextToken++;
    },
  });
  parser.feed(text);
  if (end === undefined) {
    return { outcome: "lost", fault, detail: "No final event" };
  }
  if (end.outcome === "answered" && nextToken !== req.tokens) {
    fault = `Expected ${req.tokens} tokens, got ${nextToken}`;
  }
  return { outcome: end.outcome, fault, detail: JSON.stringify(end) };
}
