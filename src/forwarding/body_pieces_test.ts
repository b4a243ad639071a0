import { deepStrictEqual, ok } from "node:assert";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { createBodyPieces } from "./body_pieces.ts";

const KEPT_BYTES = 16 * 1024;

test("tiny pieces of a body are joined, whatever comes between them", () => {
  // Guards against bodies of which each byte is an object of its own.
  const sizes = [
    ...Array.from({ length: 2 * KEPT_BYTES }, () => 1),
    KEPT_BYTES,
    ...Array.from({ length: 5 * KEPT_BYTES }, () => 1),
    3 * KEPT_BYTES,
  ];
  const pieces = createBodyPieces();
  const sent = sizes.map((size, at) => Buffer.alloc(size, at % 251));
  for (const each of sent) pieces.append(each);
  const taken = pieces.take();
  ok(Buffer.concat(taken).equals(Buffer.concat(sent)));
  deepStrictEqual(
    taken.map(({ length }) => length / KEPT_BYTES),
    [2, 1, 4, 1, 3],
  );
  deepStrictEqual(pieces.take(), []);
});
