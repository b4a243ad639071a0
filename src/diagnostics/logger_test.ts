import { deepStrictEqual, ok } from "node:assert/strict";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { ConfigError, decodeSettings } from "../config/mod.ts";
import { getDigest } from "../core/mod.ts";
import { createLogger } from "./logger.ts";

function createOutput() {
  const stream = new PassThrough();
  const getLines = () => {
    const text = stream.read()?.toString() ?? "";
    return text.split("\n").filter((line: string) => line !== "") as string[];
  };
  return { stream, getLines };
}

test("a line is JSON with host, code and request", () => {
  const { stream, getLines } = createOutput();
  const logger = createLogger("entry-1", "info", stream);
  logger.write("debug", "requestEnded", { args: ["answered"] });
  logger.write("info", "requestEnded", {
    args: ["answered"],
    fields: { request: "r-1", team: "one" },
  });
  const lines = getLines().map((line) => JSON.parse(line));
  deepStrictEqual(lines.length, 1);
  const { host, code, request, team, msg } = lines[0];
  deepStrictEqual(
    { host, code, request, team, msg },
    {
      host: "entry-1",
      code: 3007,
      request: "r-1",
      team: "one",
      msg: "Request ended as answered",
    },
  );
});

/**
 * An operator puts a secret under the wrong key or leaves a quote open. The
 * reason of the error is logged, and more people read the log than the
 * settings.
 */
test("no secret of invalid settings is logged", () => {
  const secrets = ["fleet-secret-31a", "operator-key-77b"];
  const good = `host = "entry-1"
data_centre = "dc-a"
public_address = "127.0.0.1:8001"
peer_address = "127.0.0.1:8002"
platform_address = "127.0.0.1:8003"
fleet_secret = "${secrets[0]}"
[[operators]]
name = "ada"
key_digest = "${getDigest(secrets[1]!)}"
`;
  const broken = [
    good.replace(`"${secrets[0]}"`, `"${secrets[0]}`),
    good.replace(`"${secrets[0]}"`, `["${secrets[0]}"]`),
    good.replace(getDigest(secrets[1]!), secrets[1]!),
    good.replace("8002", "8001"),
  ];
  const { stream, getLines } = createOutput();
  const logger = createLogger("entry-1", "info", stream);
  for (const text of broken) {
    try {
      decodeSettings("settings.toml", text);
    } catch (err) {
      ok(err instanceof ConfigError);
      logger.write("error", "configRefused", { args: [1, err.message] });
      logger.write("error", "configRefused", { args: [1, String(err)] });
    }
  }
  const lines = getLines();
  deepStrictEqual(lines.length, 2 * broken.length);
  for (const secret of secrets) {
    ok(lines.every((line) => !line.includes(secret)), `${secret} was logged`);
  }
});
