/**
 * Checks that involve more than one field: duplicate ids, addresses and keys,
 * and references to entries that are not declared.
 *
 * @module
 */

import type { Deployment } from "../types.ts";
import type { ConfigProblem } from "./errors.ts";
import type { RouterSettings } from "./schema.ts";

/** A value that may occur only once, and its key path. */
interface UniqueValue {
  readonly path: string;
  readonly value: string;
  /** Text to print in place of a secret value. */
  readonly displayText?: string;
}

/** Cross-checks a deployment whose fields are each valid. */
export function getDeploymentProblems(
  deployment: Deployment,
): readonly ConfigProblem[] {
  const { dataCentres, services, teams, upstreams } = deployment;
  return [
    ...getDuplicateProblems(
      "deployment.toml",
      getIds("data_centres", dataCentres),
    ),
    ...getDuplicateProblems("teams.toml", getIds("teams", teams)),
    ...getDuplicateProblems("teams.toml", getKeyDigests("teams", teams)),
    ...getDuplicateProblems("services.toml", getIds("services", services)),
    ...services.flatMap((service, index) =>
      getDuplicateProblems(
        "services.toml",
        service.operations.map((operation, position) => ({
          path: `services[${index}].operations[${position}].name`,
          value: operation.name,
        })),
      )
    ),
    ...getDuplicateProblems("upstreams.toml", getIds("upstreams", upstreams)),
    ...getDuplicateProblems(
      "upstreams.toml",
      upstreams.map(({ address }, index) => ({
        path: `upstreams[${index}].address`,
        value: address,
      })),
    ),
    ...getReferenceProblems(deployment),
  ];
}

/** Cross-checks the settings of a process whose fields are each valid. */
export function getSettingsProblems(
  file: string,
  settings: RouterSettings,
): readonly ConfigProblem[] {
  return [
    ...getDuplicateProblems(file, [
      { path: "public_address", value: settings.publicAddress },
      { path: "peer_address", value: settings.peerAddress },
      { path: "platform_address", value: settings.platformAddress },
    ]),
    ...getDuplicateProblems(
      file,
      getKeyDigests("operators", settings.operators),
    ),
    ...getDuplicateProblems(
      file,
      settings.operators.map(({ name }, index) => ({
        path: `operators[${index}].name`,
        value: name,
      })),
    ),
    ...getDuplicateProblems(file, getIds("seeds", settings.seeds)),
  ];
}

/**
 * Finds keys that a team shares with an operator: such a team could apply
 * configurations.
 */
export function getSharedKeyProblems(
  deployment: Deployment,
  operators: RouterSettings["operators"],
): readonly ConfigProblem[] {
  const known = operators.map((each) => ({
    path: `operator "${each.name}"`,
    value: each.keyDigest,
  }));
  return getDuplicateProblems("teams.toml", [
    ...known,
    ...getKeyDigests("teams", deployment.teams),
  ]);
}

function getIds(table: string, entries: readonly { id: string }[]) {
  return entries.map(({ id }, index) => ({
    path: `${table}[${index}].id`,
    value: id,
  }));
}

function getKeyDigests(
  table: string,
  entries: readonly { keyDigest: string }[],
) {
  return entries.map((entry, index) => ({
    path: `${table}[${index}].key_digest`,
    value: entry.keyDigest,
    displayText: "(not shown)",
  }));
}

function getDuplicateProblems(
  file: string,
  entries: readonly UniqueValue[],
): readonly ConfigProblem[] {
  const firstPaths = new Map<string, string>();
  const problems: ConfigProblem[] = [];
  for (const { path, value, displayText } of entries) {
    const firstPath = firstPaths.get(value);
    if (firstPath === undefined) {
      firstPaths.set(value, path);
      continue;
    }
    const args = [path, displayText ?? JSON.stringify(value), firstPath];
    problems.push({ file, message: "configDuplicate", args });
  }
  return problems;
}

function getReferenceProblems(
  deployment: Deployment,
): readonly ConfigProblem[] {
  const services = deployment.services.map((each) => each.id);
  const dataCentres = deployment.dataCentres.map((each) => each.id);
  return deployment.upstreams.flatMap((upstream, index) => {
    const path = `upstreams[${index}]`;
    return [
      ...getUnknownReferenceProblems(
        `${path}.service`,
        upstream.service,
        services,
      ),
      ...getUnknownReferenceProblems(
        `${path}.data_centre`,
        upstream.dataCentre,
        dataCentres,
      ),
    ];
  });
}

function getUnknownReferenceProblems(
  path: string,
  value: string,
  known: readonly string[],
): readonly ConfigProblem[] {
  if (known.includes(value)) return [];
  const args = [path, JSON.stringify(value), known.join(", ")];
  return [{ file: "upstreams.toml", message: "configUnknownReference", args }];
}
