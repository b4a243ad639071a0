/**
 * Codec of counter messages. A team is encoded as four bytes of a hash, and the
 * sums in a view as floats relative to the virtual time. With full names and
 * doubles, counters made up more than half of all control traffic.
 *
 * A receiver skips a team that is not in its configuration yet; the next report
 * or view contains the team again.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { create } from "@bufbuild/protobuf";
import type {
  CounterReport,
  CounterView,
  TeamService,
} from "../fairness/mod.ts";
import {
  CounterReportSchema,
  CounterViewSchema,
} from "../generated/peer_pb.ts";
import type {
  CounterReport as WireReport,
  CounterView as WireView,
} from "../generated/peer_pb.ts";
import type { Deployment } from "../types.ts";
import type { Addressed } from "./counter_exchange.ts";

/** Encodes and decodes counter messages for the deployment in force. */
export interface CounterCodec {
  encodeReport(report: Addressed<CounterReport>): WireReport;
  encodeView(view: Addressed<CounterView>): WireView;
  decodeReport(report: WireReport): Addressed<CounterReport>;
  decodeView(view: WireView): Addressed<CounterView>;
}

/** Creates the codec for the teams of the deployment in force. */
export function createCounterCodec(
  getDeployment: () => Deployment | undefined,
): CounterCodec {
  let hashedDeployment: Deployment | undefined;
  const teamsByHash = new Map<number, string>();
  const hashesByTeam = new Map<string, number>();

  /**
   * Recomputes the hashes when the deployment changes. Two teams with one hash
   * would share a counter, so the later in name order gets the next free
   * number.
   */
  function updateHashes(): void {
    const deployment = getDeployment();
    if (deployment === hashedDeployment) return;
    hashedDeployment = deployment;
    teamsByHash.clear();
    hashesByTeam.clear();
    const teams = deployment?.teams.map((each) => each.id) ?? [];
    for (const team of [...teams].sort()) {
      let hash = getHash(team);
      while (teamsByHash.has(hash)) hash = (hash + 1) >>> 0;
      teamsByHash.set(hash, team);
      hashesByTeam.set(team, hash);
    }
  }

  function selectKnownTeams(
    teams: readonly TeamService[],
  ): readonly TeamService[] {
    updateHashes();
    return teams.filter((each) => hashesByTeam.has(each.team))
      .sort((a, b) => Number(b.backlogged) - Number(a.backlogged));
  }

  function encodeTeams(teams: readonly TeamService[]) {
    return {
      teams: teams.map((each) => hashesByTeam.get(each.team)!),
      backlogged: teams.filter((each) => each.backlogged).length,
    };
  }

  function decodeTeams(
    wire: { readonly teams: readonly number[]; readonly backlogged: number },
    getValues: (at: number) => { amount: number; floor: number },
  ): readonly TeamService[] {
    updateHashes();
    return wire.teams.flatMap((hash, at) => {
      const team = teamsByHash.get(hash);
      if (team === undefined) return [];
      return [{ team, backlogged: at < wire.backlogged, ...getValues(at) }];
    });
  }

  return {
    encodeReport({ service, level, childLevel, message }) {
      const teams = selectKnownTeams(message.teams);
      const hasFloors = teams.some((each) => each.floor > 0);
      return create(CounterReportSchema, {
        ...message,
        ...encodeTeams(teams),
        service,
        level,
        childLevel,
        amounts: teams.map((each) => each.amount),
        floors: hasFloors ? teams.map((each) => each.floor) : [],
      });
    },
    encodeView({ service, level, childLevel, message }) {
      const teams = selectKnownTeams(message.teams);
      return create(CounterViewSchema, {
        ...message,
        ...encodeTeams(teams),
        service,
        level,
        childLevel,
        offsets: teams.map((each) => each.amount - message.virtualTime),
      });
    },
    decodeReport(wire) {
      const teams = decodeTeams(wire, (at) => ({
        amount: wire.amounts[at] ?? 0,
        floor: wire.floors[at] ?? 0,
      }));
      const { service, level, childLevel } = wire;
      const { sequence, session, first, largest } = wire;
      const message = { sequence, session, first, largest, teams };
      return { service, level, childLevel, message };
    },
    decodeView(wire) {
      const teams = decodeTeams(wire, (at) => ({
        amount: wire.virtualTime + (wire.offsets[at] ?? 0),
        floor: 0,
      }));
      const { service, level, childLevel, acked, session, reset } = wire;
      const { virtualTime, largest } = wire;
      const message = { acked, session, reset, virtualTime, largest, teams };
      return { service, level, childLevel, message };
    },
  };
}

function getHash(team: string): number {
  return createHash("sha1").update(team).digest().readUInt32LE(0);
}
