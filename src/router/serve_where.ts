/**
 * Serves `/where`, which tells callers what hosts they may use: a list of
 * addresses with a time to live, for a team authenticated by its key. Hosts of
 * this host's data centre come first; hosts that are leaving are not listed.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import type { Membership } from "../membership/mod.ts";
import { authenticate } from "../requests/parse.ts";
import { createNotRunReply, sendReply } from "../requests/reply.ts";
import type { Deployment } from "../types.ts";
import { sendJson } from "./public_server.ts";

/** Dependencies of the endpoint, supplied by the process. */
export interface WhereHost {
  readonly membership: Membership;
  readonly ttlMs: number;
  getDeployment(): Deployment | undefined;
}

/** A host as listed in a `/where` response. */
export interface AdvertisedHost {
  readonly host: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** Returns hosts for new requests, those of this host's data centre first. */
export function getAdvertisedHosts(
  membership: Membership,
): readonly AdvertisedHost[] {
  const own = membership.getSelf().dataCentre;
  return membership.getUsable()
    // A host that is known only as a seed has no public address yet.
    .filter((member) => member.state === "alive" && member.publicAddress !== "")
    .sort((a, b) => Number(b.dataCentre === own) - Number(a.dataCentre === own))
    .map((member) => ({
      host: member.host,
      address: member.publicAddress,
      dataCentre: member.dataCentre,
    }));
}

/** Serves one request; never fails. */
export function serveWhere(
  host: WhereHost,
  req: IncomingMessage,
  res: ServerResponse,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    const deployment = host.getDeployment();
    if (deployment === undefined) {
      const args = ["no configuration is in force"];
      const retryAfterMs = 1_000;
      sendReply(
        res,
        createNotRunReply(503, "notReady", { args, retryAfterMs }),
        "",
      );
      return;
    }
    const team = yield* authenticate(req, deployment.teams);
    const hosts = getAdvertisedHosts(host.membership);
    sendJson(res, 200, { team: team.id, ttlMs: host.ttlMs, hosts });
  }).pipe(
    Effect.catchTag(
      "RequestRejected",
      (err) => Effect.sync(() => sendReply(res, err.reply, "")),
    ),
  );
}
