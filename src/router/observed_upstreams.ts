/**
 * Wraps the upstream client to count the payload that crosses the link between
 * regions, which is paid by volume. Bytes of bodies and events are counted,
 * without headers and packet overhead.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as Effect from "effect/Effect";
import type { EventStream, UpstreamClient } from "../upstreams/mod.ts";

/** Direction of the bytes, as seen from this host. */
export type PayloadDirection = "to-upstream" | "from-upstream";

/** Dependencies of the wrapper, supplied by the process. */
export interface ObservedUpstreamsHost {
  /** Whether the upstream at the address is in another region. */
  crossesRegion(address: string): boolean;
  onRegionalBytes(direction: PayloadDirection, bytes: number): void;
}

/** Wraps the client to count cross-region payload. */
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
      }).pipe(Effect.tap((response) =>
        Effect.sync(() => {
          if (!host.crossesRegion(call.address)) return;
          count("from-upstream", response.body);
        })
      )),
  };
}
