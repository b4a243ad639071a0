/**
 * Asks the owners of one service's upstreams on behalf of the teams that wait
 * here. Work is done only for teams of which something changed, or whose wait
 * makes more owners worth asking.
 *
 * @module
 */

import type { TeamQueues } from "../queue/mod.ts";
import { type Candidates, getAsked, getAskingPauseMs } from "./asking.ts";
import type { Want } from "./types.ts";
import type { WantsTold } from "./wants_told.ts";

/** What asking needs of the slot client. */
export interface ServiceAskingHost {
  readonly queues: Pick<
    TeamQueues<never>,
    "getCount" | "tryGetTeamOldestMs"
  >;
  readonly told: WantsTold;
  nowMs(): number;
  getCandidates(): Candidates;
  sendWants(upstream: string, wants: readonly Want[]): void;
}

/** The asking of one service. */
export interface ServiceAsking {
  /** The number of the team's waiting requests, or what owners know, changed. */
  markChanged(team: string): void;
  /** Sends the wants that changed. */
  flush(): void;
  /** All that waits here for the upstream, taken as told. */
  declare(upstream: string): readonly Want[];
}

interface AskedTeam {
  readonly asked: ReadonlySet<string>;
  readonly dueMs: number;
}

/** Makes the asking of a service for which nothing waits. */
export function createServiceAsking(host: ServiceAskingHost): ServiceAsking {
  const teams = new Map<string, AskedTeam>();
  const changed = new Set<string>();

  function getWant(team: string): Want {
    const nowMs = host.nowMs();
    const oldestMs = host.queues.tryGetTeamOldestMs(team) ?? nowMs;
    return {
      team,
      waiting: host.queues.getCount(team),
      ageMs: Math.floor(nowMs - oldestMs),
    };
  }

  /** Decides anew whom to ask for the team; gives those no longer asked. */
  function choose(want: Want, candidates: Candidates): readonly string[] {
    const { team, ageMs } = want;
    const before = teams.get(team)?.asked ?? new Set<string>();
    const asked = getAsked({ ageMs, candidates, before });
    const isWide = asked.size >= candidates.sameRegion.length;
    const dueMs = host.nowMs() + getAskingPauseMs(ageMs, isWide);
    teams.set(team, { asked, dueMs });
    return [...before].filter((each) => !asked.has(each));
  }

  function updateTeam(
    team: string,
    getCandidates: () => Candidates,
    wants: Map<string, Want[]>,
  ): void {
    const tell = (upstream: string, want: Want) => {
      if (!host.told.update(want, upstream)) return;
      const list = wants.get(upstream) ?? [];
      list.push(want);
      wants.set(upstream, list);
    };
    const want = getWant(team);
    const none = { team, waiting: 0, ageMs: 0 };
    if (want.waiting === 0) {
      teams.get(team)?.asked.forEach((upstream) => tell(upstream, none));
      teams.delete(team);
      return;
    }
    if (host.nowMs() >= (teams.get(team)?.dueMs ?? 0)) {
      for (const upstream of choose(want, getCandidates())) {
        tell(upstream, none);
      }
    }
    teams.get(team)!.asked.forEach((upstream) => tell(upstream, want));
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
      for (const [team, { asked }] of teams) {
        const want = getWant(team);
        if (asked.has(upstream) && host.told.update(want, upstream)) {
          wants.push(want);
        }
      }
      return wants;
    },
  };
}
