/**
 * Wraps the platform to report every failed call, whichever module made it.
 * Operators can see that the platform is unavailable even while the only calls
 * to it are those of claims.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Platform, PlatformError } from "../platform/mod.ts";

/** Wraps the platform; `onFailed` is called once per failed call. */
export function createObservedPlatform(
  platform: Platform,
  onFailed: (err: PlatformError) => void,
): Platform {
  const { tables, objects, machines, weights } = platform;

  function observe<A>(
    call: Effect.Effect<A, PlatformError>,
  ): Effect.Effect<A, PlatformError> {
    return call.pipe(
      Effect.tapError((err) => Effect.sync(() => onFailed(err))),
    );
  }

  return {
    tables: {
      transact: (writes) => observe(tables.transact(writes)),
      get: (table, key) => observe(tables.get(table, key)),
      list: (table, prefix) => observe(tables.list(table, prefix)),
    },
    objects: {
      put: (name, content) => observe(objects.put(name, content)),
      tryGet: (name) => observe(objects.tryGet(name)),
    },
    machines: { get: () => observe(machines.get()) },
    weights: { tryReserve: (model) => observe(weights.tryReserve(model)) },
  };
}
