/**
 * Filters of timeline queries. Hosts filter their events before they answer, so
 * that a query about one request transfers few bytes.
 *
 * @module
 */

import { COUNTER_RANGE } from "../core/mod.ts";
import type { TimelineEvent } from "./types.ts";

/** Conditions that an event must all meet. */
export interface EventFilter {
  /** The request's id or a prefix of it. */
  readonly request?: string | undefined;
  readonly team?: string | undefined;
  readonly upstream?: string | undefined;
  readonly host?: string | undefined;
  /** Any of these kinds. */
  readonly kinds?: readonly string[] | undefined;
  /** Wall milliseconds, inclusive. */
  readonly sinceMs?: number | undefined;
  /** Wall milliseconds, exclusive. */
  readonly untilMs?: number | undefined;
  /** Only events after this timestamp. */
  readonly after?: number | undefined;
}

/** Whether the event meets all conditions of the filter. */
export function matchesFilter(
  event: TimelineEvent,
  filter: EventFilter,
): boolean {
  const fields = event as unknown as Readonly<Record<string, unknown>>;
  const { request, kinds, sinceMs, untilMs } = filter;
  if (request !== undefined) {
    if (!String(fields["request"] ?? "").startsWith(request)) return false;
  }
  for (const key of ["team", "upstream", "host"] as const) {
    if (filter[key] !== undefined && fields[key] !== filter[key]) return false;
  }
  if (kinds !== undefined && !kinds.includes(event.kind)) return false;
  if (sinceMs !== undefined && event.at < sinceMs * COUNTER_RANGE) return false;
  if (untilMs !== undefined && event.at >= untilMs * COUNTER_RANGE) {
    return false;
  }
  return event.at > (filter.after ?? 0);
}

/** Encodes a filter as a query of `/ops/timeline`. */
export function toQuery(filter: EventFilter): string {
  const query = new URLSearchParams();
  for (const [key, value] of Object.entries(filter)) {
    if (value !== undefined) query.set(key, String(value));
  }
  return query.toString();
}

/** Decodes the filter of a query of `/ops/timeline`. */
export function fromQuery(query: URLSearchParams): EventFilter {
  const text = (key: string) => query.get(key) ?? undefined;
  const number = (key: string) =>
    query.has(key) ? Number(query.get(key)) : undefined;
  return {
    request: text("request"),
    team: text("team"),
    upstream: text("upstream"),
    host: text("host"),
    kinds: text("kinds")?.split(","),
    sinceMs: number("sinceMs"),
    untilMs: number("untilMs"),
    after: number("after"),
  };
}
