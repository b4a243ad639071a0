/**
 * A codec of requests and responses with short header names, for tests.
 *
 * @module
 */

import type { CallCodec } from "../forwarding/mod.ts";

/** Parsing a request with this id throws, as on a fault of the program. */
export const INTERNAL_ERROR_ID = "faulty";

/** A request with this id gets a header that Node's HTTP client rejects. */
export const UNSENDABLE_ID = "unsendable";

/** A codec with short header names for tests. */
export function createTestCodec(): CallCodec {
  return {
    reportTarget: "/report",
    readReport: () => ({ kind: "not-offered" }),
    tryReadCall(req) {
      const id = req.headers["x-id"];
      if (typeof id !== "string") return undefined;
      if (id === INTERNAL_ERROR_ID) throw new TypeError("Thrown by the test");
      return {
        requestId: id,
        callerTimeoutMs: 4_000,
        key: req.headers["x-key"] as string | undefined,
        prompt: {
          model: "m",
          promptTokens: 4_000,
          maxOutputTokens: 100,
          parts: [{ id: "shared", tokens: 3_000 }, {
            id: "own",
            tokens: 1_000,
          }],
        },
        lastEventId: undefined,
        resumedRequestId: req.headers["x-resumes"] as string | undefined,
      };
    },
    createUpstreamHeaders(rawHeaders, { lastEventId, fetchFrom }) {
      const headers = [...rawHeaders];
      if (lastEventId !== undefined) headers.push("x-last-event", lastEventId);
      if (fetchFrom !== undefined) headers.push("x-fetch", fetchFrom);
      if (rawHeaders.includes(UNSENDABLE_ID)) headers.push("x-team", "\u0107");
      return headers;
    },
    readResponseHeaders: (status, headers) => ({
      requestId: headers["x-id"] as string | undefined,
      isSealed: headers["x-seal"] !== undefined,
      isNotRun: status === 421 || headers["x-not-run"] !== undefined,
      isLeaving: headers["x-leaving"] !== undefined,
      rejectedBy: headers["x-rejected-by"] as string | undefined,
      backoff: headers["x-rest-ms"] === undefined
        ? undefined
        : { kind: "for", ms: Number(headers["x-rest-ms"]) },
      warmUpLeftMs: undefined,
    }),
    createRejectionHeaders({ retryAfterMs }): Record<string, string> {
      if (retryAfterMs === undefined) return {};
      return { "retry-after": String(retryAfterMs) };
    },
  };
}
