/**
 * Calls to all hosts of a fleet. The first router that answers lists the
 * others.
 *
 * @module
 */

import { getErrorMessage } from "../core/mod.ts";
import type { Member } from "../membership/mod.ts";
import type { HostStatus } from "../router/operator_types.ts";
import {
  createOperatorClient,
  OperatorCallError,
  type OperatorClient,
} from "./operator_client.ts";

/** The answer of one host, or the reason why there is none. */
export type HostAnswer<T> =
  | { readonly kind: "answered"; readonly host: string; readonly value: T }
  | { readonly kind: "silent"; readonly host: string; readonly reason: string };

/** Calls the routers of a fleet. */
export interface FleetClient {
  /** Finds the first of the known addresses at which a router answers. */
  getRouter(): Promise<OperatorClient>;
  /** Members that are not dead according to that router. */
  getMembers(): Promise<readonly Member[]>;
  /** Queries all of these members concurrently. */
  queryAllHosts<T>(path: string): Promise<readonly HostAnswer<T>[]>;
  queryHost<T>(member: Member, path: string): Promise<HostAnswer<T>>;
}

/** Makes a client that starts from the addresses of one or more routers. */
export function createFleetClient(
  addresses: readonly string[],
  key: string,
): FleetClient {
  // Hosts can be replaced at any time. A program that runs for long also uses
  // the addresses of members that it learned of since it started.
  const known = new Set(addresses);

  async function getRouterAndStatus() {
    let lastError: unknown;
    for (const address of known) {
      const router = createOperatorClient(address, key);
      try {
        const status = await router.get<HostStatus>("/ops/status");
        for (const { publicAddress } of status.members) {
          if (publicAddress !== "") known.add(publicAddress);
        }
        return { router, status };
      } catch (err) {
        lastError = err;
        // Only an unreachable router is a reason to try the next address; a
        // refused key would be refused there as well.
        if (!(err instanceof OperatorCallError) || err.status !== 0) throw err;
      }
    }
    throw lastError;
  }

  async function getMembers(): Promise<readonly Member[]> {
    const { status } = await getRouterAndStatus();
    return status.members
      .filter((member) => member.state !== "dead")
      .sort((a, b) => a.host < b.host ? -1 : 1);
  }

  async function queryHost<T>(
    member: Member,
    path: string,
  ): Promise<HostAnswer<T>> {
    const { host, publicAddress } = member;
    if (publicAddress === "") {
      const reason = "Its public address is not known yet";
      return { kind: "silent", host, reason };
    }
    try {
      const client = createOperatorClient(publicAddress, key);
      return { kind: "answered", host, value: await client.get<T>(path) };
    } catch (err) {
      const reason = getErrorMessage(err);
      return { kind: "silent", host, reason };
    }
  }

  return {
    getRouter: async () => (await getRouterAndStatus()).router,
    getMembers,
    async queryAllHosts<T>(path: string) {
      const members = await getMembers();
      return await Promise.all(
        members.map((member) => queryHost<T>(member, path)),
      );
    },
    queryHost,
  };
}
