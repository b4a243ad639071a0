/**
 * Replays the traces of the repository, which fails if a change of the checker
 * or of a trace makes the result differ from the statement.
 *
 * @module
 */

import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { compareWithStatement, parseTrace, TraceError } from "./trace.ts";

const folder = new URL("../../traces/", import.meta.url);

for (const name of readdirSync(folder)) {
  test(`the trace "${name}" has its stated outcome`, () => {
    const trace = parseTrace(readFileSync(new URL(name, folder), "utf8"));
    assert.deepEqual(compareWithStatement(trace), []);
  });
}

test("a difference from a trace's statement is reported", () => {
  const text = '{"kind":"stated-outcome","about":"none",' +
    '"outcomes":{"answered":1},"violations":{}}\n';
  assert.deepEqual(compareWithStatement(parseTrace(text)), [
    'outcome "answered": stated 1, found 0',
  ]);
});

test("a file that is not a trace is rejected with the line of the error", () => {
  assert.throws(() => parseTrace('{"kind":"request-sent"}'), TraceError);
  assert.throws(() => parseTrace("not JSON"), { line: 1 });
});
