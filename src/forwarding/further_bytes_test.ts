import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createForwardFixture } from "../testing/forward_fixture.ts";
import { answer, chunk, streamHead } from "../testing/raw_responses.ts";

const once = { kind: "at-most-once", isResumable: false } as const;

/** A whole response to the request with the id. */
type WholeResponse = (id: string, body: string) => string;

const wholeResponses: Readonly<Record<string, WholeResponse>> = {
  "a length": answer,
  "chunks": (id, body) => streamHead(id) + chunk(body) + "0\r\n\r\n",
};

/** What an upstream sends behind a whole response. */
const furtherBytes: Readonly<Record<string, string>> = {
  "bytes that are no response": "\0\0\0\0",
  "text that is no response": "the same once more\r\n\r\n",
  "another response": answer("another", "not yours"),
};

for (const [framing, respond] of Object.entries(wholeResponses)) {
  for (const [what, further] of Object.entries(furtherBytes)) {
    test(`a body with ${framing} that ${what} follow at once reaches the caller whole`, async () => {
      // Guards against an empty body with a Content-Length of 0.
      const body = "x".repeat(800);
      await using fixture = await createForwardFixture(
        [(socket, { id }) => socket.write(respond(id, body) + further)],
        once,
      );
      const res = await fixture.call();
      deepStrictEqual([res.status, res.body], [200, body]);
    });
  }
}

test("a stream that further bytes follow at once reaches the caller whole", async () => {
  // Guards against a stream that ends as complete without any piece.
  const piece = "id: 1\ndata: a\n\n";
  await using fixture = await createForwardFixture([
    (socket, { id }) =>
      socket.write(streamHead(id) + chunk(piece) + "0\r\n\r\n" + "more"),
  ], {
    kind: "stream",
    isResumable: false,
  });
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body, res.isTruncated], [200, piece, false]);
});
