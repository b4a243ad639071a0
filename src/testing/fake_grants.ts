/**
 * Grants without owners, for tests of what hosts decide by themselves.
 *
 * @module
 */

import type { PromptGrants } from "../queue/mod.ts";

/** Creates grants that no upstream needs. */
export function createUnneededGrants(isEnabled: boolean): PromptGrants {
  return {
    isEnabled: () => isEnabled,
    needsGrant: () => false,
    isRequestDue: () => false,
    ask() {},
    requestIdle() {},
    hasRequestedIdle: () => false,
    end() {},
    recordStart() {},
  };
}
