import { strictEqual } from "node:assert";
import { test } from "node:test";
import { getBodyFraming } from "./body_framing.ts";

test("the framing of a response follows its status, its headers and the method", () => {
  const chunked = { "transfer-encoding": "gzip, Chunked" };
  strictEqual(getBodyFraming({ headers: chunked }, "GET"), "chunked");
  const sized = { "content-length": "4" };
  strictEqual(getBodyFraming({ headers: sized }, "GET"), "length");
  strictEqual(getBodyFraming({ headers: sized }, "HEAD"), "none");
  strictEqual(
    getBodyFraming({ headers: {}, statusCode: 304 }, "GET"),
    "none",
  );
  strictEqual(getBodyFraming({ headers: {} }, "GET"), "until-close");
});

test("a body with a transfer encoding other than chunked ends with its connection", () => {
  // Guards against a part that counts as whole because it seems to have a length.
  for (
    const encoding of [
      "identity",
      "gzip",
      "chunked, gzip",
      "x-chunked",
      "gzip;chunked",
      "gzip chunked",
    ]
  ) {
    const headers = { "transfer-encoding": encoding };
    strictEqual(getBodyFraming({ headers }, "GET"), "until-close", encoding);
  }
});
