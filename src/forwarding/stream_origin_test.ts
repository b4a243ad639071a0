import { deepStrictEqual, match, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { chunk, streamHead } from "../testing/raw_responses.ts";

const streams: Behaviour = (socket, { id }) =>
  socket.write(
    streamHead(id) + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n",
  );

const unknown = {
  kind: "unknown",
  versions: 2,
  asked: 3,
  answered: 1,
} as const;

test("a stream of unknown version is refused as not run before anything is sent", async () => {
  await using fixture = await createForwardFixture([streams, streams]);
  fixture.controls.foundVersion = unknown;
  const { status, headers, body } = await fixture.call({ resumes: "earlier" });
  strictEqual(status, 503);
  ok(Number(headers["retry-after"]) > 0);
  match(body, /No host knows at which version/);
  deepStrictEqual(fixture.arrivals, []);
});

test("the log tells why a stream was not taken up, and what was asked for it", async () => {
  await using fixture = await createForwardFixture([streams]);
  fixture.controls.foundVersion = unknown;
  await fixture.call({ id: "later", resumes: "earlier" });
  const line = fixture.log.find((each) =>
    each.event === "stream-version-unknown"
  );
  ok(line?.event === "stream-version-unknown");
  const { tookMs, ...others } = line;
  ok(tookMs >= 0);
  deepStrictEqual(others, {
    event: "stream-version-unknown",
    request: "later",
    resumes: "earlier",
    versions: 2,
    asked: 3,
    answered: 1,
    inputs: { configVersion: 1, upstreamsVersion: 1, confirmedMsAgo: 0 },
  });
  const [end] = fixture.log.filter((each) => each.event === "request-ended");
  ok(end?.event === "request-ended");
  strictEqual(end.outcome, "not-run");
});

test("a stream that is taken up goes to an upstream of its version only", async () => {
  await using fixture = await createForwardFixture([streams, streams], {}, {
    softwareVersions: ["v1", "v1.1"],
  });
  fixture.controls.foundVersion = {
    kind: "found",
    version: "v1.1",
    from: "keeper",
    asked: 3,
    answered: 1,
  };
  for (let at = 0; at < 4; at++) await fixture.call({ resumes: "earlier" });
  deepStrictEqual(new Set(fixture.arrivals), new Set(["up-1"]));
  fixture.controls.foundVersion = {
    ...fixture.controls.foundVersion,
    version: "v2",
  };
  const refused = await fixture.call({ resumes: "earlier" });
  strictEqual(refused.status, 503);
  match(refused.body, /2 of another software version/);
});

test("a stream is recorded under the request that brought its first event", async () => {
  await using fixture = await createForwardFixture([streams], {}, {
    softwareVersions: ["v1"],
  });
  await fixture.call({ id: "first" });
  await fixture.call({ id: "second", resumes: "first" });
  const first = { service: "model", request: "first", version: "v1" };
  deepStrictEqual(fixture.begun, [first, first]);
});

test("only streams that may be resumed are recorded", async () => {
  await using fixture = await createForwardFixture([streams], {
    isResumable: false,
  });
  await fixture.call();
  deepStrictEqual(fixture.begun, []);
});

test("a request of another kind is not held up by a header for streams", async () => {
  await using fixture = await createForwardFixture([streams], {
    kind: "idempotent",
  });
  fixture.controls.foundVersion = unknown;
  strictEqual((await fixture.call({ resumes: "earlier" })).status, 200);
});
