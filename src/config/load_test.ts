import { deepStrictEqual, match, ok, throws } from "node:assert/strict";
import { test } from "node:test";
import { getDigest } from "../core/mod.ts";
import { ConfigError } from "./errors.ts";
import { formatDifferences } from "./format_differences.ts";
import { decodeFileSet, decodeSettings, type FileSet } from "./load.ts";

function createFiles(): Record<string, string> {
  return {
    "deployment.toml": `name = "small"
[[data_centres]]
id = "dc-a"
region = "west"
`,
    "teams.toml": `[[teams]]
id = "one"
key_digest = "${getDigest("key of one")}"
[[teams]]
id = "two"
weight = 2
key_digest = "${getDigest("key of two")}"
`,
    "services.toml": `[[services]]
id = "desk"
kind = "plain"
[[services.operations]]
name = "book"
idempotent = false
`,
    "upstreams.toml": `[[upstreams]]
id = "desk-1"
service = "desk"
data_centre = "dc-a"
address = "127.0.0.1:9001"
`,
  };
}

function createSettingsText(): string {
  return `host = "entry-1"
data_centre = "dc-a"
public_address = "127.0.0.1:8001"
peer_address = "127.0.0.1:8002"
platform_address = "127.0.0.1:8003"
fleet_secret = "a secret that is long enough"
[[operators]]
name = "ada"
key_digest = "${getDigest("key of ada")}"
`;
}

function edit(file: string, from: string, to: string): FileSet {
  const files = createFiles();
  ok(files[file]!.includes(from), `The fixture has ${from}`);
  files[file] = files[file]!.replace(from, to);
  return files;
}

function getLines(run: () => unknown): readonly string[] {
  try {
    run();
  } catch (err) {
    if (err instanceof ConfigError) return err.message.split("\n");
    throw err;
  }
  return [];
}

test("absent keys of a valid set take their defaults", () => {
  const { teams, upstreams } = decodeFileSet(createFiles());
  deepStrictEqual(teams.map((team) => team.weight), [1, 2]);
  deepStrictEqual(upstreams[0]?.maxSlots, 16);
  deepStrictEqual(upstreams[0]?.fencing, "ignores");
});

test("an error names file, key path, value and what is allowed", () => {
  const files = edit("teams.toml", "weight = 2", "weight = 0");
  deepStrictEqual(getLines(() => decodeFileSet(files)), [
    'teams.toml: teams[1].weight ("two") is 0; allowed: 0.01 to 1000',
  ]);
});

test("an unknown key is an error that names the nearest known key", () => {
  for (const wrong of ["wieght = 2", "Weight = 2"]) {
    const files = edit("teams.toml", "weight = 2", wrong);
    const [line = ""] = getLines(() => decodeFileSet(files));
    match(line, /no known key; the nearest known is "weight"/);
    ok(line.includes(wrong.split(" ")[0]!));
  }
});

test("a table in the wrong file is an error", () => {
  const files = edit(
    "services.toml",
    "[[services]]",
    "[[teams]]\n[[services]]",
  );
  const [line = ""] = getLines(() => decodeFileSet(files));
  match(line, /^services.toml: teams is no known key; known here: services$/);
});

test("all problems of all files are reported at once", () => {
  const files = {
    ...createFiles(),
    "deployment.toml": "name = [",
    "teams.toml": '[[teams]]\nid = "A"\nmax_queued = 0.5\n',
  };
  const lines = getLines(() => decodeFileSet(files));
  deepStrictEqual(lines.map((line) => line.split(" ").slice(0, 2).join(" ")), [
    "deployment.toml: The",
    "teams.toml: teams[0].id",
    "teams.toml: teams[0].key_digest",
    "teams.toml: teams[0].max_queued",
  ]);
});

test("duplicates and references between files are checked", () => {
  const cases = [
    ["teams.toml", 'id = "two"', 'id = "one"', "teams[1].id"],
    [
      "teams.toml",
      getDigest("key of two"),
      getDigest("key of one"),
      "teams[1].key_digest",
    ],
    ["upstreams.toml", '"desk"', '"dusk"', "upstreams[0].service"],
    ["upstreams.toml", '"dc-a"', '"dc-b"', "upstreams[0].data_centre"],
  ] as const;
  for (const [file, from, to, keyPath] of cases) {
    const lines = getLines(() => decodeFileSet(edit(file, from, to)));
    deepStrictEqual(lines.length, 1);
    ok(lines[0]!.startsWith(`${file}: ${keyPath} is `), lines[0]);
  }
});

test("an address that the settings use twice is reported", () => {
  decodeSettings("s.toml", createSettingsText());
  const clash = createSettingsText().replace("8002", "8001");
  deepStrictEqual(getLines(() => decodeSettings("s.toml", clash)), [
    's.toml: peer_address is "127.0.0.1:8001", which public_address has ' +
    "already; allowed: each value once",
  ]);
});

/**
 * An operator pastes a key in place of its digest, or a secret that is too
 * short. The error may be copied into a ticket, so it must not contain them.
 */
test("an error never repeats a key or a secret", () => {
  const files = edit("teams.toml", getDigest("key of two"), "key of two");
  const text = createSettingsText()
    .replace("a secret that is long enough", "too short one")
    .replace(getDigest("key of ada"), "key of ada");
  const unclosed = createSettingsText().replace('enough"', "enough");
  const lines = [
    ...getLines(() => decodeFileSet(files)),
    ...getLines(() => decodeSettings("s.toml", text)),
    ...getLines(() => decodeSettings("s.toml", unclosed)),
  ];
  deepStrictEqual(lines.length, 4);
  for (const line of lines) {
    ok(!/key of two|key of ada|too short one|long enough/.test(line), line);
  }
});

test("the difference lists entries and keys, not comments or order", () => {
  const before = decodeFileSet(createFiles());
  const files = edit("teams.toml", "weight = 2", "# twice\nweight = 3");
  const after = decodeFileSet({
    ...files,
    "upstreams.toml": files["upstreams.toml"]!.replace("desk-1", "desk-2"),
  });
  deepStrictEqual(formatDifferences(before, after), [
    '~ team "two": weight 2 -> 3',
    '+ upstream "desk-2"',
    '- upstream "desk-1"',
  ]);
  deepStrictEqual(formatDifferences(before, before), []);
  const all = formatDifferences(undefined, before);
  ok(all.every((line) => line.startsWith("+ ")));
});

test("a set that lacks a file is refused", () => {
  const { "teams.toml": _, ...files } = createFiles();
  throws(() => decodeFileSet(files), ConfigError);
});
