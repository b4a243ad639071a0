/**
 * Which shared parts of prompts an upstream probably keeps: those that this
 * host has sent there lately. An upstream's own word on it comes late and with
 * gaps, and asking costs it work; what others sent is not known here, so that
 * the guess errs on the side of more to read.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";

/** A part of a prompt with its size. */
export interface SizedPart {
  readonly id: string;
  readonly tokens: number;
}

/** What this host believes of its upstreams' memories. */
export interface KeptParts {
  /** Tokens of the prompt that the upstream has to read. */
  getUnread(upstream: string, parts: readonly SizedPart[]): number;
  /** The upstream has read the prompt. */
  note(upstream: string, parts: readonly SizedPart[]): void;
  /** The upstream has started anew, or is gone. */
  forget(upstream: string): void;
}

/**
 * Parts remembered of one upstream, newest last. 200 parts of 2,000 tokens fill
 * a memory of 400,000 tokens.
 */
const MAX_PARTS = 200;

/** Makes a memory of nothing. */
export function createKeptParts(): KeptParts {
  const kept = new Map<string, Set<string>>();

  return {
    getUnread(upstream, parts) {
      const known = kept.get(upstream);
      let unread = 0;
      let isKept = known !== undefined;
      for (const { id, tokens } of parts) {
        // A part counts as kept only behind others that are.
        isKept &&= known!.has(id);
        if (!isKept) unread += tokens;
      }
      return unread;
    },
    note(upstream, parts) {
      const known = getOrCreate(kept, upstream, () => new Set());
      for (const { id } of parts) {
        known.delete(id);
        known.add(id);
      }
      while (known.size > MAX_PARTS) {
        known.delete(known.values().next().value!);
      }
    },
    forget: (upstream) => void kept.delete(upstream),
  };
}
