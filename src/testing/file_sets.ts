/**
 * Small sets of configuration files for tests.
 *
 * @module
 */

import { getDigest } from "../core/mod.ts";
import type { FileSet } from "../config/mod.ts";

/** Creates the files of a deployment with the given teams and upstreams. */
export function createFileSet(
  input: {
    readonly teams?: Readonly<Record<string, number>>;
    readonly upstreams?: readonly string[];
  } = {},
): FileSet {
  const teams = Object.entries(input.teams ?? { "fitters": 1 });
  const upstreams = input.upstreams ?? ["engine-1"];
  return {
    "deployment.toml":
      'name = "test"\n[[data_centres]]\nid = "dc-1"\nregion = "r-1"\n',
    "teams.toml": teams.map(([id, weight]) =>
      `[[teams]]\nid = "${id}"\nweight = ${weight}\nkey_digest = "${
        getDigest(id)
      }"\n`
    ).join("\n"),
    "services.toml":
      '[[services]]\nid = "model"\nkind = "engine"\n[[services.operations]]\nname = "generate"\nidempotent = true\n',
    "upstreams.toml": upstreams.map((id, index) =>
      `[[upstreams]]\nid = "${id}"\nservice = "model"\ndata_centre = "dc-1"\naddress = "127.0.0.1:${
        20_000 + index
      }"\n`
    ).join("\n"),
  };
}
