/**
 * Answers "which host should I use": addresses with a time to live, for a team
 * known by its key. Hosts of the asked host's own data centre come first; a
 * host that is leaving is not named.
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

/** What the answer is made from. */
export interface WhereHost {
  readonly membership: Membership;
  readonly ttlMs: number;
  getDeployment(): Deployment | undefined;
}

/** A host as callers are told of it. */
export interface NamedHost {
  readonly host: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** Hosts for new work, those of this host's own data centre first. */
export function getNamedHosts(membership: Membership): readonly NamedHost[] {
  const own = membership.getSelf().dataCentre;
  return membership.getUsable()
    // A host known from the platform's list alone has no public address yet.
    .filter((member) => member.state === "alive" && member.publicAddress !== "")
    .sort((a, b) => Number(b.dataCentre === own) - Number(a.dataCentre === own))
    .map((member) => ({
      host: member.host,
      address: member.publicAddress,
      dataCentre: member.dataCentre,
    }));
}

/** Serves one question; never fails. */
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
    const hosts = getNamedHosts(host.membership);
    sendJson(res, 200, { team: team.id, ttlMs: host.ttlMs, hosts });
  }).pipe(
    Effect.catchTag(
      "RequestRejected",
      (err) => Effect.sync(() => sendReply(res, err.reply, "")),
    ),
  );
}
