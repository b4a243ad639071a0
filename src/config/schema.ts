/**
 * Schemas of the declarative files and of the settings: types, defaults, units
 * and limits. Files use snake_case keys, which the decoder converts to
 * camelCase before it applies the schemas.
 *
 * @module
 */

import {
  address,
  type Fields,
  flag,
  identifier,
  integer,
  keyDigest,
  number,
  oneOf,
  optional,
  secret,
  tablesOf,
  toStruct,
  withDefault,
  withEmptyDefault,
} from "./fields.ts";

const dataCentreFields = {
  id: identifier("Name of the data centre"),
  region: identifier("Region of the data centre"),
};

const teamFields = {
  id: identifier("Name of the team"),
  weight: withDefault(
    number("Share relative to the other teams' weights", {
      min: 0.01,
      max: 1000,
      unit: "",
    }),
    1,
  ),
  keyDigest: keyDigest("SHA-256 of the key that the team's callers send"),
  maxQueued: withDefault(
    integer("Requests that may wait at one host for one service", {
      min: 1,
      max: 10_000,
      unit: "requests",
    }),
    200,
  ),
};

const operationFields = {
  name: identifier("Name of the operation, the last part of the path"),
  idempotent: flag("False: it runs at most once for each idempotency key"),
};

const serviceFields = {
  id: identifier("Name of the service, the first part of the path"),
  kind: oneOf("Engines stream responses; plain services send a single one", [
    "engine",
    "plain",
  ]),
  operations: tablesOf(
    "Calls that the service offers",
    operationFields,
    "services.operations",
  ),
  maxDeadlineMs: withDefault(
    integer("Longest time from arrival to deadline that a caller may set", {
      min: 100,
      max: 3_600_000,
      unit: "ms",
    }),
    300_000,
  ),
  maxBodyBytes: withDefault(
    integer("Largest body of a request", {
      min: 1,
      max: 64 * 1024 * 1024,
      unit: "bytes",
    }),
    1024 * 1024,
  ),
  expectedCost: withDefault(
    number("Cost assumed for a request until the team's own costs are known", {
      min: 0.001,
      max: 1e9,
      unit: "tokens or calls",
    }),
    1,
  ),
};

const upstreamFields = {
  id: identifier("Name of the upstream"),
  service: identifier("Service that the upstream runs"),
  dataCentre: identifier("Data centre of the upstream"),
  address: address("Address of the upstream's HTTP server"),
  maxSlots: withDefault(
    integer("Upper bound of the adaptive concurrency limit", {
      min: 1,
      max: 4096,
      unit: "requests in flight",
    }),
    16,
  ),
  fencing: withDefault(
    oneOf(
      "Whether the upstream refuses orders that carry an old fencing token",
      [
        "checks",
        "ignores",
      ],
    ),
    "ignores",
  ),
  model: optional(
    identifier("The only model that the upstream should have loaded"),
    "the upstream keeps its models",
  ),
  role: optional(
    identifier("Role that the upstream should have"),
    "the upstream keeps its role",
  ),
  longestOrderMs: optional(
    integer("Longest time from an order until it ends or shows in the state", {
      min: 100,
      max: 600_000,
      unit: "ms",
    }),
    "5000",
  ),
};

const operatorFields = {
  name: identifier("Name of the operator, recorded as the author of a version"),
  keyDigest: keyDigest("SHA-256 of the operator's key"),
};

const seedFields = {
  id: identifier("Name of the host"),
  dataCentre: identifier("Data centre of the host"),
  peerAddress: address("Address of the host for other hosts"),
};

const settingsFields = {
  host: identifier("Name of this host; unique in the fleet"),
  dataCentre: identifier("Data centre of this host"),
  publicAddress: address("Address for callers and operators"),
  peerAddress: address("Address for other hosts, over TCP and UDP"),
  /** The address to bind, if it differs from the one that peers connect to. */
  peerBindAddress: optional(
    address("Address to listen on for other hosts, if it differs"),
    "peer_address",
  ),
  platformAddress: address("Address of the platform's service"),
  /** Signs resume tokens and authenticates the peers' handshakes. */
  fleetSecret: secret("Shared by all hosts to authenticate each other", 16),
  operators: tablesOf(
    "Operators that may use /ops/",
    operatorFields,
    "operators",
  ),
  logLevel: withDefault(
    oneOf("Lowest severity that is logged", [
      "debug",
      "info",
      "warn",
      "error",
    ]),
    "info",
  ),
  seeds: withEmptyDefault(
    tablesOf(
      "Hosts to contact while the platform's list can't be read",
      seedFields,
      "seeds",
    ),
  ),
  whereTtlMs: withDefault(
    integer("How long a caller may cache a response of /where", {
      min: 100,
      max: 600_000,
      unit: "ms",
    }),
    5_000,
  ),
  drainLimitMs: withDefault(
    integer("How long a stopping host waits for requests in flight", {
      min: 100,
      max: 3_600_000,
      unit: "ms",
    }),
    120_000,
  ),
};

const deploymentFileFields = {
  name: identifier("Name of the deployment"),
  dataCentres: tablesOf("The data centres", dataCentreFields, "data_centres"),
};
const teamsFileFields = { teams: tablesOf("The teams", teamFields, "teams") };
const servicesFileFields = {
  services: tablesOf("The services", serviceFields, "services"),
};
const upstreamsFileFields = {
  upstreams: tablesOf("The upstreams", upstreamFields, "upstreams"),
};

/** The settings of one router process. */
export const settingsSchema = toStruct(settingsFields);

/** The settings of one router process. */
export type RouterSettings = typeof settingsSchema.Type;

/** The files of a deployment, which together make up one version. */
export const deploymentFiles = [
  "deployment.toml",
  "teams.toml",
  "services.toml",
  "upstreams.toml",
] as const;

/** Name of one of the deployment's files. */
export type DeploymentFile = typeof deploymentFiles[number];

/** One schema for each file, so that an error names the file. */
export const fileSchemas = {
  "deployment.toml": toStruct(deploymentFileFields),
  "teams.toml": toStruct(teamsFileFields),
  "services.toml": toStruct(servicesFileFields),
  "upstreams.toml": toStruct(upstreamsFileFields),
};

/**
 * The fields of each kind of file by the path of their table in the code's
 * spelling; the empty path is the top level of the file.
 */
export const tableFields: Readonly<
  Record<DeploymentFile | "settings", Readonly<Record<string, Fields>>>
> = {
  "deployment.toml": {
    "": deploymentFileFields,
    dataCentres: dataCentreFields,
  },
  "teams.toml": { "": teamsFileFields, teams: teamFields },
  "services.toml": {
    "": servicesFileFields,
    services: serviceFields,
    "services.operations": operationFields,
  },
  "upstreams.toml": { "": upstreamsFileFields, upstreams: upstreamFields },
  settings: {
    "": settingsFields,
    operators: operatorFields,
    seeds: seedFields,
  },
};
