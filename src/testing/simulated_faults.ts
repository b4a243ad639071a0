/**
 * Troubles of the platform and of hosts, drawn by a seed. They come in series and
 * overlap. Where two of a kind meet a host (kills, cuts) or the fleet (lost
 * datagrams), the end of the first ends both for it; what they excuse lasts until
 * the second is over.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { TABLE_NAMES, type TableName } from "../discovery/mod.ts";
import type { Random } from "../measure/random.ts";
import type { Treatment } from "./fake_tables.ts";
import type { KnowledgeFleet } from "./platform_view_fleet.ts";

/**
 * `away`: the platform answers no host. `one-table`: it answers no host that asks
 * for one of the tables. `turned-away`: it treats a third of the hosts so.
 * `history-dropped`: watches hear nothing for a second, then what happened
 * meanwhile is forgotten. `returned`: the platform answers no host, and comes back
 * from an older copy of itself.
 */
type TroubleKind =
  | "away"
  | "one-table"
  | "turned-away"
  | "history-dropped"
  | "returned"
  | "killed"
  | "cut"
  | "lossy";

/** Each is drawn as often as it stands here. */
const troubleKinds: readonly TroubleKind[] = [
  "away",
  "away",
  "one-table",
  "turned-away",
  "turned-away",
  "history-dropped",
  "returned",
  "returned",
  "killed",
  "cut",
  "lossy",
];

interface Trouble {
  readonly kind: TroubleKind;
  readonly untilMs: number;
  /** Hosts that it meets. */
  readonly hosts: readonly string[];
  /** Tables of the platform that it meets, and how their hosts are treated. */
  readonly tables: readonly TableName[];
  readonly treatment: Treatment;
}

/** The troubles of one fleet. */
export interface Troubles {
  /** How often the platform has come back from a copy. */
  countReturns(): number;
  /** Begins what is due by now and ends what is over. */
  readonly update: Effect.Effect<void>;
  /** Whether there is any, hosts that are turned away included. */
  hasAny(): boolean;
  /**
   * Whether there is one that excuses a host for lacking a change. That the
   * platform turns some hosts away excuses nothing: the others tell them.
   */
  hasExcuse(): boolean;
}

/** Until the first trouble, in ms: all hosts have started by then. */
const FIRST_MS = 4_000;

/** Between two troubles of a series, and beside it between two series, in ms. */
const GAP_MS = 4_000;
const PAUSE_MS = 16_000;

/** How often a series ends. */
const PAUSE_SHARE = 0.35;

const LOST_SHARE = 0.1;

/** How old a copy is from which the platform comes back, in ms. */
const LEAST_LOST_MS = 500;
const LOST_SPREAD_MS = 7_000;

/** Makes the troubles; none has begun. */
export function createTroubles(
  fleet: KnowledgeFleet,
  random: Random,
): Troubles {
  const troubles = new Set<Trouble>();
  let nextMs = FIRST_MS + random() * GAP_MS;
  let returns = 0;

  function rewind(): void {
    returns++;
    fleet.tables.restoreBackup(LEAST_LOST_MS + random() * LOST_SPREAD_MS);
  }

  /** Where troubles overlap, the newest says how a host is treated. */
  function applyTreatments(): void {
    fleet.treatAll("served");
    for (const { hosts, tables, treatment } of troubles) {
      for (const host of hosts) {
        for (const table of tables) {
          fleet.tables.setTableTreatment(host, table, treatment);
        }
      }
    }
  }

  function begin(trouble: Trouble): Effect.Effect<void> {
    const { kind, hosts, untilMs } = trouble;
    return Effect.gen(function* () {
      troubles.add(trouble);
      applyTreatments();
      if (kind === "history-dropped") fleet.tables.pauseWatchesUntil(untilMs);
      if (kind === "lossy") fleet.loseDatagrams(LOST_SHARE);
      for (const host of hosts) {
        if (kind === "killed") yield* fleet.killHost(host);
        if (kind === "cut") fleet.cut(host, true);
      }
    });
  }

  function end(trouble: Trouble): Effect.Effect<void> {
    const { kind, hosts } = trouble;
    return Effect.gen(function* () {
      troubles.delete(trouble);
      applyTreatments();
      if (kind === "history-dropped") fleet.tables.dropHistory();
      if (kind === "returned") rewind();
      if (kind === "lossy") fleet.loseDatagrams(0);
      for (const host of hosts) {
        const isDown = fleet.tryGetKnowledge(host) === undefined;
        if (kind === "killed" && isDown) yield* fleet.startHost(host);
        if (kind === "cut") fleet.cut(host, false);
      }
    });
  }

  return {
    countReturns: () => returns,
    update: Effect.gen(function* () {
      const nowMs = fleet.nowMs();
      if (nowMs >= nextMs) {
        yield* begin(drawTrouble(fleet, random));
        nextMs = nowMs + drawGapMs(random);
      }
      const over = [...troubles].filter((each) => nowMs >= each.untilMs);
      for (const trouble of over) yield* end(trouble);
    }),
    hasAny: () => troubles.size > 0,
    hasExcuse: () => [...troubles].some((each) => each.kind !== "turned-away"),
  };
}

function drawGapMs(random: Random): number {
  const isPause = random() < PAUSE_SHARE;
  return random() * GAP_MS + (isPause ? PAUSE_MS : 0);
}

function drawTrouble(fleet: KnowledgeFleet, random: Random): Trouble {
  const pick = <T>(values: readonly T[]): T =>
    values[Math.floor(random() * values.length)]!;
  const kind = pick(troubleKinds);
  return {
    kind,
    untilMs: fleet.nowMs() + drawLengthMs(kind, random),
    hosts: drawHosts(fleet.hosts, kind, random),
    tables: getTables(kind, pick(TABLE_NAMES)),
    treatment: pick(["refused", "silent"]),
  };
}

function getTables(
  kind: TroubleKind,
  table: TableName,
): readonly TableName[] {
  if (kind === "one-table") return [table];
  const isWhole = kind === "away" || kind === "turned-away" ||
    kind === "returned";
  return isWhole ? TABLE_NAMES : [];
}

function drawLengthMs(kind: TroubleKind, random: Random): number {
  if (kind === "history-dropped") return 1_000;
  if (kind === "returned") return random() * 2_500;
  if (kind === "killed") return 300 + random() * 3_000;
  return 1_000 + random() * 9_000;
}

function drawHosts(
  hosts: readonly string[],
  kind: TroubleKind,
  random: Random,
): readonly string[] {
  if (kind === "lossy" || kind === "history-dropped") return [];
  if (["away", "one-table", "returned"].includes(kind)) return hosts;
  const isAll = kind === "killed" && random() < 0.3;
  const count = Math.ceil(hosts.length / (isAll ? 1 : 3));
  const first = Math.floor(random() * hosts.length);
  return Array.from(
    { length: count },
    (_, at) => hosts[(first + at) % hosts.length]!,
  );
}
