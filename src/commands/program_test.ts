import { deepStrictEqual, match, ok } from "node:assert/strict";
import { EventEmitter } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { readFileSet, type VersionRow } from "../config/mod.ts";
import type { Member } from "../membership/mod.ts";
import type { ApplyBody } from "../router/operator_types.ts";
import { createSignalRecord } from "../startup/mod.ts";
import { applyProgram } from "./apply.ts";
import { checkProgram } from "./check.ts";
import { replayProgram } from "./replay.ts";
import { exitCodes } from "./exit_codes.ts";
import { explainProgram } from "./explain.ts";
import type { FleetClient, HostAnswer } from "./fleet_client.ts";
import { historyProgram } from "./history.ts";
import { OperatorCallError } from "./operator_client.ts";
import { type Program, type ProgramHost, runProgramWith } from "./program.ts";
import { createRouterProgram } from "./router.ts";
import { statusProgram } from "./status.ts";
import { timelineProgram } from "./timeline.ts";

const EXAMPLE = fileURLToPath(
  new URL("../../examples/kvinta", import.meta.url),
);

const routerProgram = createRouterProgram(
  createSignalRecord(new EventEmitter()),
);

const programs = [
  applyProgram,
  checkProgram,
  replayProgram,
  explainProgram,
  historyProgram,
  routerProgram,
  statusProgram,
  timelineProgram,
] as unknown as readonly Program<Record<never, never>>[];

interface FakeFleet {
  /** Errors of the first posts; later posts succeed. */
  readonly failures?: OperatorCallError[];
  /**
   * Versions in force by host, one entry for each poll; the last one repeats.
   */
  readonly polls?: Record<string, number>[];
  readonly silent?: string;
}

/** A program's dependencies with a fake fleet and a clock moved by `sleep`. */
function createFixture(fleet: FakeFleet = {}) {
  const files = readFileSet(EXAMPLE);
  const output: string[] = [];
  const posts: ApplyBody[] = [];
  const polls = [...fleet.polls ?? [{ "entry-1": 5 }]];
  let nowMs = 0;
  const row: VersionRow = {
    version: 4,
    digest: "0".repeat(64),
    parent: 3,
    author: "ada",
    acceptedMs: 0,
    attempt: "",
  };
  const router = {
    address: "127.0.0.1:1",
    get<T>(path: string): Promise<T> {
      const value = path.startsWith("/ops/history")
        ? { versions: [row] }
        : { row, files: { ...files } };
      return Promise.resolve(value as T);
    },
    post<T>(_path: string, body: unknown): Promise<T> {
      posts.push(body as ApplyBody);
      const failure = fleet.failures?.shift();
      if (failure !== undefined) return Promise.reject(failure);
      return Promise.resolve({ ...row, version: 5 } as T);
    },
  };
  const client: FleetClient = {
    getRouter: () => Promise.resolve(router),
    getMembers: () => Promise.resolve([] as Member[]),
    queryAllHosts<T>() {
      const versions = polls.length > 1 ? polls.shift()! : polls[0]!;
      const answers = Object.entries(versions).map(([host, configVersion]) =>
        host === fleet.silent
          ? { kind: "silent", host, reason: "No answer" }
          : {
            kind: "answered",
            host,
            value: {
              host,
              dataCentre: "dc-a",
              draining: false,
              configVersion,
              configDigest: "",
              members: [],
              upstreams: [],
              owned: [],
              queues: [],
              teams: [],
              served: [],
              events: [],
              until: 0,
              lost: 0,
            },
          }
      );
      return Promise.resolve(answers as unknown as HostAnswer<T>[]);
    },
    queryHost: () => Promise.reject(new Error("Not used")),
  };
  const host = (rawArgs: readonly string[]): ProgramHost => ({
    rawArgs,
    env: { AZURESTILE_ROUTER: "127.0.0.1:1", AZURESTILE_OPERATOR_KEY: "k" },
    print: (text) => output.push(text),
    printError: (text) => output.push(text),
    createFleetClient: () => client,
    nowMs: () => nowMs,
    sleep(ms) {
      nowMs += ms;
      return Promise.resolve();
    },
  });
  return { host, output, posts };
}

/** Makes a folder with the example's files and a changed weight of one team. */
function createChangedFolder() {
  const folder = mkdtempSync(join(tmpdir(), "azurestile-test-"));
  const files = readFileSet(EXAMPLE);
  for (const [name, text] of Object.entries(files)) {
    writeFileSync(join(folder, name), text.replace("weight = 4", "weight = 7"));
  }
  return {
    folder,
    [Symbol.dispose]: () => rmSync(folder, { recursive: true }),
  };
}

test("every program prints its options, its exit codes and its version", async () => {
  for (const program of programs) {
    const { host, output } = createFixture();
    deepStrictEqual(await runProgramWith(program, host(["--help"])), "ok");
    match(output[0]!, new RegExp(`^.*${program.name}.*v\\d`));
    match(output[0]!, /EXIT CODES\n\n {2}0 {2}Done/);
    deepStrictEqual(await runProgramWith(program, host(["--version"])), "ok");
    match(output[1]!, /^\d+\.\d+\.\d+$/);
  }
});

test("no program takes a key as an option", () => {
  for (const program of programs) {
    deepStrictEqual(Object.keys(program.args).includes("key"), false);
  }
});

test("every exit code is unique", () => {
  const codes = Object.values(exitCodes).map((each) => each.code);
  deepStrictEqual(new Set<number>(codes).size, codes.length);
});

test("docs/CONFIGURATION.md has every exit code", () => {
  const file = new URL("../../docs/CONFIGURATION.md", import.meta.url);
  const page = readFileSync(file, "utf8").replaceAll(/ +/g, " ");
  for (const { code, text } of Object.values(exitCodes)) {
    ok(page.includes(`| ${code} | ${text} |`), text);
  }
});

test("wrong usage has its own exit and a message that says what is allowed", async () => {
  const cases = [
    [statusProgram, ["--jsn"], /"--jsn" does not exist.*"--json"/],
    [statusProgram, ["--router"], /"--router" needs a value/],
    [statusProgram, ["extra"], /"extra" is one too many/],
    [applyProgram, [EXAMPLE, "--wait", "soon"], /"soon"; allowed: a number/],
    [applyProgram, [], /DIR/],
    [applyProgram, ["/nonexistent"], /teams.toml: The file can't be read/],
    [timelineProgram, ["--since", "dawn"], /"dawn"; allowed: an age/],
    [historyProgram, ["--export", "1"], /"--dir" needs a value/],
    [routerProgram, ["--settings", "/none.toml"], /none.toml: The file can't/],
  ] as const;
  for (const [program, rawArgs, expected] of cases) {
    const { host, output } = createFixture();
    const any = program as unknown as Program<Record<never, never>>;
    deepStrictEqual(await runProgramWith(any, host(rawArgs)), "usage");
    match(output.join("\n"), expected);
  }
});

test("a program without a key says how to provide one", async () => {
  const { host, output } = createFixture();
  const hostWithoutKey = {
    ...host([]),
    env: { AZURESTILE_ROUTER: "127.0.0.1:1" },
  };
  deepStrictEqual(await runProgramWith(statusProgram, hostWithoutKey), "usage");
  match(output[0]!, /"--key-file" or in AZURESTILE_OPERATOR_KEY/);
});

test("apply prints the difference and waits until it is in force", async () => {
  using changed = createChangedFolder();
  const polls = [{ "entry-1": 4, "entry-2": 5 }, {
    "entry-1": 5,
    "entry-2": 5,
  }];
  const { host, output, posts } = createFixture({ polls });
  const exit = await runProgramWith(applyProgram, host([changed.folder]));
  deepStrictEqual(exit, "ok");
  deepStrictEqual(posts.map((each) => each.baseVersion), [4]);
  const text = output.join("\n");
  match(text, /~ team "vake-joinery": weight 4 -> 7/);
  match(text, /In force at 2 of 2 hosts after 0\.\d s/);
});

/**
 * The response is lost after the version was accepted. If the files were sent
 * again as a new attempt, they would conflict with the operator's own version.
 */
test("apply sends the same attempt again if the response is lost", async () => {
  using changed = createChangedFolder();
  const lost = new OperatorCallError({
    status: 0,
    reason: "Reset",
    answer: {},
  });
  const { host, posts } = createFixture({ failures: [lost] });
  const exit = await runProgramWith(applyProgram, host([changed.folder]));
  deepStrictEqual(exit, "ok");
  deepStrictEqual(posts.length, 2);
  deepStrictEqual(posts[0]!.attempt, posts[1]!.attempt);
  ok(posts[0]!.attempt);
});

test("apply reports a conflict, and a host with an older version", async () => {
  using changed = createChangedFolder();
  const conflict = new OperatorCallError({
    status: 409,
    reason: "Not 3",
    answer: {
      overlapping: [{
        file: "teams.toml",
        kind: "team",
        id: "vake-joinery",
        change: "changed",
        keys: ["weight"],
      }],
    },
  });
  const first = createFixture({ failures: [conflict] });
  const args = [changed.folder, "--base", "3"];
  deepStrictEqual(
    await runProgramWith(applyProgram, first.host(args)),
    "conflict",
  );
  deepStrictEqual(first.posts[0]!.baseVersion, 3);
  const messages = first.output.join("\n");
  match(messages, /Version 4 by ada at .* came first/);
  match(messages, /You both changed team "vake-joinery"/);

  const second = createFixture({
    polls: [{ "entry-1": 5, "entry-2": 4 }],
    silent: "",
  });
  deepStrictEqual(
    await runProgramWith(applyProgram, second.host([changed.folder])),
    "notInForce",
  );
  match(second.output.join("\n"), /entry-2: version 4 is in force/);
});

test("a dry run changes nothing", async () => {
  using changed = createChangedFolder();
  const { host, posts } = createFixture();
  const rawArgs = [changed.folder, "--dry-run"];
  deepStrictEqual(await runProgramWith(applyProgram, host(rawArgs)), "ok");
  deepStrictEqual(posts, []);
});

test("a status shows that a host did not answer", async () => {
  const { host, output } = createFixture({
    polls: [{ "entry-1": 5, "entry-2": 5 }],
    silent: "entry-2",
  });
  deepStrictEqual(await runProgramWith(statusProgram, host([])), "partial");
  match(output[0]!, /entry-2 +no answer/);
});

test("a request that no host knows is not found", async () => {
  const { host, output } = createFixture();
  deepStrictEqual(
    await runProgramWith(explainProgram, host(["r-1"])),
    "notFound",
  );
  match(output[0]!, /No host that answered has events of the request "r-1"/);
});
