/**
 * The declarative files and the settings as schemas: types, defaults, units and
 * limits. Files use snake_case keys; the loader turns them to camelCase before
 * they come here.
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
  region: identifier("Region that the data centre lies in"),
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
  kind: oneOf("Engines stream their answers; plain services answer at once", [
    "engine",
    "plain",
  ]),
  operations: tablesOf(
    "Calls that the service offers",
    operationFields,
    "services.operations",
  ),
  maxDeadlineMs: withDefault(
    integer("Longest time from arrival to end that a caller may ask for", {
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
    number("Cost assumed until a team's own costs are known", {
      min: 0.001,
      max: 1e9,
      unit: "tokens or calls",
    }),
    1,
  ),
};

const upstreamFields = {
  id: identifier("Name of the upstream"),
  service: identifier("Service that it runs"),
  dataCentre: identifier("Data centre that it stands in"),
  address: address("Address of its HTTP server"),
  maxSlots: withDefault(
    integer("Concurrency above which the adaptive limit never goes", {
      min: 1,
      max: 4096,
      unit: "requests in flight",
    }),
    16,
  ),
  fencing: withDefault(
    oneOf("Whether it refuses orders that carry an old fencing token", [
      "checks",
      "ignores",
    ]),
    "ignores",
  ),
  model: optional(
    identifier("Model that it should have loaded, and no other"),
    "it keeps the models that it has",
  ),
  role: optional(
    identifier("Role that it should have"),
    "it keeps the role that it has",
  ),
  longestOrderMs: optional(
    integer("From sending it an order until that ended or shows in its state", {
      min: 100,
      max: 600_000,
      unit: "ms",
    }),
    "5000",
  ),
};

const operatorFields = {
  name: identifier("Name that the record of configurations shows as author"),
  keyDigest: keyDigest("SHA-256 of the operator's key"),
};

const seedFields = {
  id: identifier("Name of the host"),
  dataCentre: identifier("Data centre of the host"),
  peerAddress: address("Its address for other hosts"),
};

const settingsFields = {
  host: identifier("Name of this host; unique in the fleet"),
  dataCentre: identifier("Data centre that this host stands in"),
  publicAddress: address("Address for callers and operators"),
  peerAddress: address("Address for other hosts, over TCP and UDP"),
  /** Where to listen for peers, when it differs from what they dial. */
  peerBindAddress: optional(
    address("Where to listen for other hosts, when it differs"),
    "peer_address",
  ),
  platformAddress: address("Address of the platform's service"),
  /** Shared by all hosts: signs resume tokens and peers' greetings. */
  fleetSecret: secret("Shared by all hosts; proves that a host belongs", 16),
  operators: tablesOf("Who may use /ops/", operatorFields, "operators"),
  logLevel: withDefault(
    oneOf("Least severity of the lines that are logged", [
      "debug",
      "info",
      "warn",
      "error",
    ]),
    "info",
  ),
  seeds: withEmptyDefault(
    tablesOf(
      "Hosts to ask while the platform's list can't be read",
      seedFields,
      "seeds",
    ),
  ),
  whereTtlMs: withDefault(
    integer("How long a caller may keep an answer of /where", {
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

/** The files of a deployment; together they are one version. */
export const deploymentFiles = [
  "deployment.toml",
  "teams.toml",
  "services.toml",
  "upstreams.toml",
] as const;

/** Name of one of the deployment's files. */
export type DeploymentFile = typeof deploymentFiles[number];

/** The schema of each file by itself, so that an error names its file. */
export const fileSchemas = {
  "deployment.toml": toStruct(deploymentFileFields),
  "teams.toml": toStruct(teamsFileFields),
  "services.toml": toStruct(servicesFileFields),
  "upstreams.toml": toStruct(upstreamsFileFields),
};

/**
 * The fields of each kind of file by the path of their table, as the code names
 * it; the empty path is the file's top.
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
