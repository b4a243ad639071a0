/**
 * Calls to upstreams whose payload is counted when it crosses the link between
 * regions, which is paid by volume. Counted are the bytes of bodies and events,
 * without headers and packets.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as Effect from "effect/Effect";
import type { EventStream, UpstreamClient } from "../upstreams/mod.ts";

/** Which way the bytes went, as seen from this host. */
export type PayloadDirection = "to-upstream" | "from-upstream";

/** What the count needs of the process. */
export interface ObservedUpstreamsHost {
  /** Whether the upstream at the address stands in another region. */
  crossesRegion(address: string): boolean;
  onRegionalBytes(direction: PayloadDirection, bytes: number): void;
}

/** The same calls, with their regional payload counted. */
export function createObservedUpstreams(
  client: UpstreamClient,
  host: ObservedUpstreamsHost,
): UpstreamClient {
  function count(direction: PayloadDirection, text: string): void {
    host.onRegionalBytes(direction, Buffer.byteLength(text));
  }

  function observeStream(address: string, stream: EventStream): EventStream {
    if (!host.crossesRegion(address)) return stream;
    return {
      next: stream.next.pipe(
        Effect.tap((event) =>
          Effect.sync(() => {
            if (event !== undefined) count("from-upstream", event.data);
          })
        ),
      ),
      close: () => stream.close(),
    };
  }

  function countBody(address: string, body: string): void {
    if (host.crossesRegion(address)) count("to-upstream", body);
  }

  return {
    generate: (call) =>
      Effect.suspend(() => {
        countBody(call.address, call.body);
        return client.generate(call);
      }).pipe(Effect.map((stream) => observeStream(call.address, stream))),
    resume: (place, offset) =>
      client.resume(place, offset).pipe(
        Effect.map((stream) => observeStream(place.address, stream)),
      ),
    cancelIfUnread: client.cancelIfUnread,
    call: (call) =>
      Effect.suspend(() => {
        countBody(call.address, call.body);
        return client.call(call);
      }).pipe(Effect.tap((answer) =>
        Effect.sync(() => {
          if (!host.crossesRegion(call.address)) return;
          count("from-upstream", answer.body);
        })
      )),
  };
}
