/**
 * `azurestile-check DIR`: checks a set of files, and optionally the settings of
 * a router, without contacting a fleet.
 *
 * @module
 */

import {
  decodeFileSet,
  getFileSetDigest,
  getSharedKeyProblems,
  readFileSet,
  readSettings,
  throwIfProblems,
} from "../config/mod.ts";
import type { Program } from "./program.ts";

const args = {
  dir: {
    type: "positional",
    required: true,
    description: "Folder of the deployment's files",
  },
  settings: {
    type: "string",
    valueHint: "FILE",
    description: "Settings of a router to check together with the files",
  },
} as const;

/** The program. */
export const checkProgram: Program<typeof args> = {
  name: "azurestile-check",
  description: "Checks a deployment's files offline",
  args,
  exits: [],
  run(options, { print }) {
    const files = readFileSet(options.dir);
    const deployment = decodeFileSet(files);
    if (options.settings !== undefined) {
      const settings = readSettings(options.settings);
      throwIfProblems(getSharedKeyProblems(deployment, settings.operators));
      print(`The settings of host "${settings.host}" are valid`);
    }
    print(
      `The deployment "${deployment.name}" is valid: ` +
        `${deployment.dataCentres.length} data centres, ` +
        `${deployment.teams.length} teams, ` +
        `${deployment.services.length} services, ` +
        `${deployment.upstreams.length} upstreams ` +
        `(${getFileSetDigest(files).slice(0, 8)})`,
    );
    return Promise.resolve("ok");
  },
};
