/**
 * Parses JSON that the platform sent.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { PlatformError } from "./types.ts";

/**
 * Parses the text; fails if it is not JSON. A reply without a length that was
 * cut on its way is told from a whole one by nothing else.
 */
export function parseJson<T>(text: string): Effect.Effect<T, PlatformError> {
  return Effect.try({
    try: () => JSON.parse(text) as T,
    // The parser's own message would repeat a part of the text.
    catch: () => {
      const reason = `The platform sent ${text.length} characters, not JSON`;
      return new PlatformError({ reason, mayHaveRun: true });
    },
  });
}
