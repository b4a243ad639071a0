import { deepStrictEqual, strictEqual } from "node:assert";
import { spawnSync } from "node:child_process";
import process from "node:process";
import { test } from "node:test";

const MODULES = new URL("./mod.js", import.meta.url).href;

/** A program whose runtime is watched by a decision log. */
const PROGRAM = `
  import { createDecisionLog, watchRuntime } from "${MODULES}";
  const log = createDecisionLog(() => "h1");
  watchRuntime({
    writeWarning: (each) => log.write({ event: "runtime-warning", ...each }),
    writeUncaught: (each) => log.write({ event: "uncaught-error", ...each }),
    flush: () => log[Symbol.asyncDispose](),
  });
`;

/** Runs the program with some code at its end, in a process of its own. */
function run(code: string) {
  const result = spawnSync(
    process.execPath,
    ["--input-type=module", "--eval", PROGRAM + code],
    { encoding: "utf8" },
  );
  const lines = result.stdout.split("\n").filter((line) => line !== "")
    .map((line) => JSON.parse(line) as Record<string, unknown>);
  return { status: result.status, stderr: result.stderr, lines };
}

test("too many listeners are a line of the log and nothing on standard error", () => {
  // Guards against text of Node.js between the lines of a log.
  const { status, stderr, lines } = run(`
    const emitter = new (await import("node:events")).EventEmitter();
    for (let at = 0; at < 12; at++) emitter.on("end", () => {});
    await new Promise((resolve) => setImmediate(resolve));
    await log[Symbol.asyncDispose]();
  `);
  deepStrictEqual([status, stderr], [0, ""]);
  deepStrictEqual(
    lines.map(({ name, event, kind, count }) => [name, event, kind, count]),
    [["azurestile-entry", "runtime-warning", "MaxListenersExceededWarning", 1]],
  );
});

for (
  const [origin, code, kind, message] of [
    ["uncaughtException", 'throw new TypeError("of x")', "TypeError", "of x"],
    [
      "unhandledRejection",
      'void Promise.reject(new RangeError("of y"))',
      "RangeError",
      "of y",
    ],
    ["uncaughtException", 'throw "a text"', "string", "a text"],
  ] as const
) {
  test(`a process that ends on ${kind} (${origin}) logs it and exits with 1`, () => {
    // Guards against a host that is gone without a line that says why.
    const { status, stderr, lines } = run(
      `setTimeout(() => { ${code}; }, 0); setInterval(() => {}, 1_000);`,
    );
    deepStrictEqual([status, stderr], [1, ""]);
    strictEqual(lines.length, 1);
    const [line] = lines;
    deepStrictEqual(
      [line!.event, line!.origin, line!.kind, line!.message],
      ["uncaught-error", origin, kind, message],
    );
  });
}
