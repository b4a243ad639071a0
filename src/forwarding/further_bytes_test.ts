import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
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

/** Responses without the id of any request. */
const namelessResponses: Readonly<Record<string, string>> = {
  "a rejection":
    "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
  "a refusal for another upstream":
    "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n",
  "a failure": "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
};

/** Answers the first request; the second one runs, behind late bytes. */
function createLateBytes(late: string): Behaviour {
  let served = 0;
  return (socket, { id }) => {
    served++;
    socket.write(served === 1 ? answer(id, "done") : late);
  };
}

for (const [what, late] of Object.entries(namelessResponses)) {
  test(`${what} without an id, late behind a response, is no answer to the next request`, async () => {
    // Guards against a booking that runs at two upstreams, or whose caller gets
    // what belongs to no request.
    const sound: Behaviour = (socket, { id }) =>
      socket.write(answer(id, "done"));
    await using fixture = await createForwardFixture(
      [createLateBytes(late), sound],
      once,
    );
    strictEqual((await fixture.call({ id: "one" })).status, 200);
    strictEqual((await fixture.call({ id: "two" })).status, 502);
    deepStrictEqual(fixture.arrivals, ["up-0", "up-0"]);
  });
}

test("a rejection without an id that is the first response of its connection is an answer", async () => {
  // Guards against bookings that end with 502 although they have not run.
  const refuses: Behaviour = (socket) =>
    socket.write(namelessResponses["a rejection"]!);
  const sound: Behaviour = (socket, { id }) => socket.write(answer(id, "done"));
  await using fixture = await createForwardFixture([refuses, sound], once);
  strictEqual((await fixture.call()).status, 200);
  deepStrictEqual(fixture.arrivals, ["up-0", "up-1"]);
});
