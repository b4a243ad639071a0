/**
 * Random faults of the platform and of hosts. They come in series and overlap.
 * If two faults of a kind affect a host (kills, partitions) or the fleet (lost
 * datagrams) at once, the end of the first also ends the effect of the second;
 * `hasDelayingFault` stays true until the second is over.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { TABLE_NAMES, type TableName } from "../discovery/mod.ts";
import type { Random } from "../measure/random.ts";
import type { Treatment } from "./fake_tables.ts";
import type { PlatformViewFleet } from "./platform_view_fleet.ts";

/**
 * `outage`: the platform serves no host. `table-outage`: it does not serve one
 * of the tables. `turned-away`: it does not serve a third of the hosts.
 * `history-dropped`: watches report nothing for a second, after which the
 * history up to that time is lost. `returned`: the platform serves no host, and
 * is then restored from an older backup. `killed`: hosts crash and restart.
 * `cut`: hosts are partitioned from all others. `datagram-loss`: a share of the
 * datagrams is lost.
 */
type FaultKind =
  | "outage"
  | "table-outage"
  | "turned-away"
  | "history-dropped"
  | "returned"
  | "killed"
  | "cut"
  | "datagram-loss";

/** A kind is drawn in proportion to how often it is listed. */
const faultKinds: readonly FaultKind[] = [
  "outage",
  "outage",
  "table-outage",
  "turned-away",
  "turned-away",
  "history-dropped",
  "returned",
  "returned",
  "killed",
  "cut",
  "datagram-loss",
];

interface Fault {
  readonly kind: FaultKind;
  readonly untilMs: number;
  /** Hosts that the fault affects. */
  readonly hosts: readonly string[];
  /** Tables that are not served, and how calls for them fail. */
  readonly tables: readonly TableName[];
  readonly treatment: Treatment;
}

/** The faults of one fleet over time. */
export interface FaultSchedule {
  /** Number of times that the platform was restored from a backup. */
  countRestores(): number;
  /** Begins the fault that is due and ends those that are over. */
  readonly update: Effect.Effect<void>;
  /** Whether any fault is active, including `turned-away`. */
  hasAny(): boolean;
  /**
   * Whether a fault is active that may delay a change beyond the bound. It must
   * hold for rejected hosts (`turned-away`), since other hosts inform them.
   */
  hasDelayingFault(): boolean;
}

/** Earliest start of the first fault, in ms: all hosts have started by then. */
const FIRST_FAULT_MS = 4_000;

/** Most time between two faults of a series, in ms. */
const MAX_INTERVAL_MS = 4_000;
/** Added between two series of faults, in ms. */
const PAUSE_DURATION_MS = 16_000;

/** Probability that a series ends after a fault. */
const PAUSE_PROBABILITY = 0.35;

/** Share of datagrams that is lost during `datagram-loss`. */
const DATAGRAM_LOSS_RATE = 0.1;

/** Minimum and range of the age of a restored backup, in ms. */
const MIN_BACKUP_AGE_MS = 500;
const BACKUP_AGE_RANGE_MS = 7_000;

/** Creates the schedule; no fault is active yet. */
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

  /** Where faults overlap, the newest decides how a host is treated. */
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
      if (kind === "datagram-loss") fleet.setDatagramLoss(DATAGRAM_LOSS_RATE);
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
      if (kind === "datagram-loss") fleet.setDatagramLoss(0);
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
  if (kind === "table-outage") return [table];
  const affectsAllTables = kind === "outage" || kind === "turned-away" ||
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
  if (kind === "datagram-loss" || kind === "history-dropped") return [];
  if (["outage", "table-outage", "returned"].includes(kind)) return hosts;
  const isAll = kind === "killed" && random() < 0.3;
  const count = Math.ceil(hosts.length / (isAll ? 1 : 3));
  const first = Math.floor(random() * hosts.length);
  return Array.from(
    { length: count },
    (_, at) => hosts[(first + at) % hosts.length]!,
  );
}
