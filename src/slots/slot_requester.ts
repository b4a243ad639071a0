/**
 * Requests slots from the owners of one service's upstreams for the teams with
 * waiting requests at this host. Only teams are processed whose state has
 * changed, or whose selection of upstreams is due for renewal.
 *
 * @module
 */

import type { TeamQueues } from "../queue/mod.ts";
import {
  type Candidates,
  getSelectionLifetimeMs,
  selectUpstreams,
} from "./upstream_selection.ts";
import type { Want } from "./types.ts";
import type { ReportedWants } from "./reported_wants.ts";

/** Dependencies of a slot requester, supplied by the slot client. */
export interface SlotRequesterHost {
  readonly queues: Pick<
    TeamQueues<never>,
    "getCount" | "tryGetTeamOldestArrivalMs"
  >;
  readonly reportedWants: ReportedWants;
  nowMs(): number;
  getCandidates(): Candidates;
  sendWants(upstream: string, wants: readonly Want[]): void;
}

/** Requests slots for one service. */
export interface SlotRequester {
  /**
   * Marks a team whose number of waiting requests, as counted here or as known
   * to owners, has changed.
   */
  markChanged(team: string): void;
  /** Sends the changed numbers of waiting requests to the owners. */
  flush(): void;
  /**
   * Returns the waiting requests of all teams that have selected the upstream,
   * and records them as reported.
   */
  declare(upstream: string): readonly Want[];
}

interface TeamSelection {
  readonly upstreams: ReadonlySet<string>;
  readonly dueMs: number;
}

/** Creates a requester of a service without waiting requests. */
export function createSlotRequester(host: SlotRequesterHost): SlotRequester {
  const teams = new Map<string, TeamSelection>();
  const changed = new Set<string>();

  function getWant(team: string): Want {
    const nowMs = host.nowMs();
    const oldestMs = host.queues.tryGetTeamOldestArrivalMs(team) ?? nowMs;
    return {
      team,
      waiting: host.queues.getCount(team),
      ageMs: Math.floor(nowMs - oldestMs),
    };
  }

  /**
   * Renews the team's selection of upstreams; returns those no longer selected.
   */
  function reselect(want: Want, candidates: Candidates): readonly string[] {
    const { team, ageMs } = want;
    const previous = teams.get(team)?.upstreams ?? new Set<string>();
    const upstreams = selectUpstreams({ ageMs, candidates, previous });
    const hasAllInRegion = upstreams.size >= candidates.sameRegion.length;
    const dueMs = host.nowMs() + getSelectionLifetimeMs(ageMs, hasAllInRegion);
    teams.set(team, { upstreams, dueMs });
    return [...previous].filter((each) => !upstreams.has(each));
  }

  function updateTeam(
    team: string,
    getCandidates: () => Candidates,
    wants: Map<string, Want[]>,
  ): void {
    const addIfChanged = (upstream: string, want: Want) => {
      if (!host.reportedWants.update(want, upstream)) return;
      const list = wants.get(upstream) ?? [];
      list.push(want);
      wants.set(upstream, list);
    };
    const want = getWant(team);
    const none = { team, waiting: 0, ageMs: 0 };
    if (want.waiting === 0) {
      teams.get(team)?.upstreams.forEach((upstream) =>
        addIfChanged(upstream, none)
      );
      teams.delete(team);
      return;
    }
    if (host.nowMs() >= (teams.get(team)?.dueMs ?? 0)) {
      for (const upstream of reselect(want, getCandidates())) {
        addIfChanged(upstream, none);
      }
    }
    teams.get(team)!.upstreams.forEach((upstream) =>
      addIfChanged(upstream, want)
    );
  }

  return {
    markChanged: (team) => void changed.add(team),
    flush() {
      const nowMs = host.nowMs();
      for (const [team, { dueMs }] of teams) {
        if (nowMs >= dueMs) changed.add(team);
      }
      if (changed.size === 0) return;
      let candidates: Candidates | undefined;
      const getCandidates = () => candidates ??= host.getCandidates();
      const wants = new Map<string, Want[]>();
      for (const team of changed) updateTeam(team, getCandidates, wants);
      changed.clear();
      for (const [upstream, list] of wants) host.sendWants(upstream, list);
    },
    declare(upstream) {
      const wants: Want[] = [];
      for (const [team, { upstreams }] of teams) {
        const want = getWant(team);
        if (
          upstreams.has(upstream) && host.reportedWants.update(want, upstream)
        ) {
          wants.push(want);
        }
      }
      return wants;
    },
  };
}
