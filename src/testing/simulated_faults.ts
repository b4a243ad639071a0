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
import type { PlatformViewFleet } from "./platform_view_fleet.ts";

/**
 * `away`: the platform answers no host. `one-table`: it answers no host that asks
 * for one of the tables. `turned-away`: it treats a third of the hosts so.
 * `history-dropped`: watches hear nothing for a second, then what happened
 * meanwhile is forgotten. `returned`: the platform answers no host, and comes back
 * from an older copy of itself.
 */
type FaultKind =
  | "away"
  | "one-table"
  | "turned-away"
  | "history-dropped"
  | "returned"
  | "killed"
  | "cut"
  | "lossy";

/** Each is drawn as often as it stands here. */
const faultKinds: readonly FaultKind[] = [
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

interface Fault {
  readonly kind: FaultKind;
  readonly untilMs: number;
  /** Hosts that it meets. */
  readonly hosts: readonly string[];
  /** Tables of the platform that it meets, and how their hosts are treated. */
  readonly tables: readonly TableName[];
  readonly treatment: Treatment;
}

/** The troubles of one fleet. */
export interface FaultSchedule {
  /** How often the platform has come back from a copy. */
  countRestores(): number;
  /** Begins what is due by now and ends what is over. */
  readonly update: Effect.Effect<void>;
  /** Whether there is any, hosts that are turned away included. */
  hasAny(): boolean;
  /**
   * Whether there is one that excuses a host for lacking a change. That the
   * platform turns some hosts away excuses nothing: the others tell them.
   */
  hasDelayingFault(): boolean;
}

/** Until the first trouble, in ms: all hosts have started by then. */
const FIRST_FAULT_MS = 4_000;

/** Between two troubles of a series, and beside it between two series, in ms. */
const MAX_INTERVAL_MS = 4_000;
const PAUSE_DURATION_MS = 16_000;

/** How often a series ends. */
const PAUSE_PROBABILITY = 0.35;

const DATAGRAM_LOSS_RATE = 0.1;

/** How old a copy is from which the platform comes back, in ms. */
const MIN_BACKUP_AGE_MS = 500;
const BACKUP_AGE_RANGE_MS = 7_000;

/** Makes the troubles; none has begun. */
export function createFaultSchedule(
  fleet: PlatformViewFleet,
  random: Random,
): FaultSchedule {
  const activeFaults = new Set<Fault>();
  let nextMs = FIRST_FAULT_MS + random() * MAX_INTERVAL_MS;
  let restores = 0;

  function restoreBackup(): void {
    restores++;
    fleet.tables.restoreBackup(
      MIN_BACKUP_AGE_MS + random() * BACKUP_AGE_RANGE_MS,
    );
  }

  /** Where troubles overlap, the newest says how a host is treated. */
  function applyTreatments(): void {
    fleet.treatAll("served");
    for (const { hosts, tables, treatment } of activeFaults) {
      for (const host of hosts) {
        for (const table of tables) {
          fleet.tables.setTableTreatment(host, table, treatment);
        }
      }
    }
  }

  function begin(fault: Fault): Effect.Effect<void> {
    const { kind, hosts, untilMs } = fault;
    return Effect.gen(function* () {
      activeFaults.add(fault);
      applyTreatments();
      if (kind === "history-dropped") fleet.tables.pauseWatchesUntil(untilMs);
      if (kind === "lossy") fleet.setDatagramLoss(DATAGRAM_LOSS_RATE);
      for (const host of hosts) {
        if (kind === "killed") yield* fleet.killHost(host);
        if (kind === "cut") fleet.setPartitioned(host, true);
      }
    });
  }

  function end(fault: Fault): Effect.Effect<void> {
    const { kind, hosts } = fault;
    return Effect.gen(function* () {
      activeFaults.delete(fault);
      applyTreatments();
      if (kind === "history-dropped") fleet.tables.dropHistory();
      if (kind === "returned") restoreBackup();
      if (kind === "lossy") fleet.setDatagramLoss(0);
      for (const host of hosts) {
        const isDown = fleet.tryGetView(host) === undefined;
        if (kind === "killed" && isDown) yield* fleet.startHost(host);
        if (kind === "cut") fleet.setPartitioned(host, false);
      }
    });
  }

  return {
    countRestores: () => restores,
    update: Effect.gen(function* () {
      const nowMs = fleet.nowMs();
      if (nowMs >= nextMs) {
        yield* begin(drawFault(fleet, random));
        nextMs = nowMs + drawIntervalMs(random);
      }
      const over = [...activeFaults].filter((each) => nowMs >= each.untilMs);
      for (const fault of over) yield* end(fault);
    }),
    hasAny: () => activeFaults.size > 0,
    hasDelayingFault: () =>
      [...activeFaults].some((each) => each.kind !== "turned-away"),
  };
}

function drawIntervalMs(random: Random): number {
  const isSeriesEnd = random() < PAUSE_PROBABILITY;
  return random() * MAX_INTERVAL_MS + (isSeriesEnd ? PAUSE_DURATION_MS : 0);
}

function drawFault(fleet: PlatformViewFleet, random: Random): Fault {
  const pick = <T>(values: readonly T[]): T =>
    values[Math.floor(random() * values.length)]!;
  const kind = pick(faultKinds);
  return {
    kind,
    untilMs: fleet.nowMs() + drawDurationMs(kind, random),
    hosts: drawHosts(fleet.hosts, kind, random),
    tables: getTables(kind, pick(TABLE_NAMES)),
    treatment: pick(["refused", "silent"]),
  };
}

function getTables(
  kind: FaultKind,
  table: TableName,
): readonly TableName[] {
  if (kind === "one-table") return [table];
  const affectsAllTables = kind === "away" || kind === "turned-away" ||
    kind === "returned";
  return affectsAllTables ? TABLE_NAMES : [];
}

function drawDurationMs(kind: FaultKind, random: Random): number {
  if (kind === "history-dropped") return 1_000;
  if (kind === "returned") return random() * 2_500;
  if (kind === "killed") return 300 + random() * 3_000;
  return 1_000 + random() * 9_000;
}

function drawHosts(
  hosts: readonly string[],
  kind: FaultKind,
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
