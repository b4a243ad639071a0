/**
 * Calls to the whole fleet: a first router that answers names the others.
 *
 * @module
 */

import type { Member } from "../membership/mod.ts";
import type { HostStatus } from "../router/operator_types.ts";
import {
  createOperatorClient,
  OperatorCallError,
  type OperatorClient,
} from "./operator_client.ts";

/** What one host said, or why it said nothing. */
export type HostAnswer<T> =
  | { readonly kind: "answered"; readonly host: string; readonly value: T }
  | { readonly kind: "silent"; readonly host: string; readonly reason: string };

/** Calls the routers of a fleet. */
export interface FleetClient {
  /** The first router of the addresses given that answers. */
  getRouter(): Promise<OperatorClient>;
  /** Members that are not known to be dead, as that router sees them. */
  getMembers(): Promise<readonly Member[]>;
  /** Asks every such member at once. */
  queryAllHosts<T>(path: string): Promise<readonly HostAnswer<T>[]>;
  queryHost<T>(member: Member, path: string): Promise<HostAnswer<T>>;
}

/** Makes a client that knows the addresses of one router or several. */
export function createFleetClient(
  addresses: readonly string[],
  key: string,
): FleetClient {
  // Hosts are replaced at any time: a program that runs for long goes on with
  // those that it has met since.
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
        // Only silence speaks for the next address; a refused key is final.
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
      const reason = err instanceof Error ? err.message : String(err);
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
