/** A configuration like that of a small deployment. */

export const HOST_NAME = "ficu95.example";
export const KEY = "asnmgkcuyj8pjbvk9m68";

const plain = {
  host: HOST_NAME,
  priority: 1,
  max_attempts: 1,
  public: false,
  sticky: false,
  resumable: false,
};

export function createConfig(version, service, routes, tenants) {
  return {
    version,
    routes: routes.map((each) => ({ ...plain, service, ...each })),
    services: [
      { name: service, health_path: "/healthz", max_conns: 310, protocol: "h1", tls: false },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
      tokens_per_s: 237_999,
    },
    tenants: tenants ?? [{ name: "hule930", api_keys: [KEY], priority: 1 }],
  };
}
