/**
 * A minute of troubles that come in series and overlap, drawn by a seed, over
 * hosts with the real knowledge of the platform's tables; and the promises that
 * are checked while it runs. In virtual time.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { READERS, TABLE_NAMES, type TableName } from "../discovery/mod.ts";
import { createRandom, type Random } from "../measure/random.ts";
import type { Treatment } from "./fake_tables.ts";
import {
  createKnowledgeFleet,
  type KnowledgeFleet,
  runFleet,
} from "./knowledge_fleet.ts";

/** What is played. */
export interface SoakOptions {
  readonly seed: number;
  readonly hosts: number;
  /** False: hosts tell each other nothing; for showing that checks can fail. */
  readonly isPassingOn?: boolean;
}

/** What became of the promises. */
export interface SoakResult {
  readonly seed: number;
  /** Each broken promise as one sentence with its time. */
  readonly broken: readonly string[];
  /** Longest time in which a change was not in force at a host that was due. */
  readonly worstMs: number;
  /** Calls to the platform while there was no trouble. */
  readonly calmCalls: number;
  /**
   * What three readers need in that time: a call a second for each table, and one
   * more for each change.
   */
  readonly neededCalls: number;
}

/**
 * A change is in force, and a new upstream known, so soon after its acceptance,
 * in ms, at hosts that have been without trouble for `CALM_MS`.
 */
export const BOUND_MS = 2_500;

/** After the end of a trouble a host counts as reachable again, in ms. */
const CALM_MS = 4_000;

const PLAYED_MS = 60_000;
const STEP_MS = 100;

/** Between two troubles, two changes, two new upstreams, at most, in ms. */
const TROUBLE_GAP_MS = 4_000;
const CHANGE_GAP_MS = 2_500;
const UPSTREAM_GAP_MS = 3_000;

/** Upstreams that are registered at a time. */
const UPSTREAMS = 3;

/**
 * `away`: the platform answers no host. `one-table`: it answers no host that asks
 * for one of the tables. `turned-away`: it treats a third of the hosts so; this one
 * excuses nothing. `history-dropped`: watches hear nothing for a second, then what
 * happened meanwhile is forgotten.
 */
type TroubleKind =
  | "away"
  | "one-table"
  | "turned-away"
  | "history-dropped"
  | "killed"
  | "cut"
  | "lossy";

const troubleKinds: readonly TroubleKind[] = [
  "away",
  "away",
  "one-table",
  "turned-away",
  "turned-away",
  "history-dropped",
  "killed",
  "cut",
  "lossy",
];

interface Trouble {
  readonly kind: TroubleKind;
  readonly untilMs: number;
  /** Hosts that it meets. */
  readonly hosts: readonly string[];
  readonly tables: readonly TableName[];
  readonly treatment: Treatment;
}

/** Changes that were accepted, the newest last. */
interface Accepted {
  readonly atMs: number;
  /** Number of the change, from 1. */
  readonly number: number;
}

/** Plays one seed. */
export async function playSoak(options: SoakOptions): Promise<SoakResult> {
  const fleet = createKnowledgeFleet(options);
  const random = createRandom(options.seed);
  const broken: string[] = [];
  const configs: Accepted[] = [];
  const upstreams: Accepted[] = [];
  const troubles = new Set<Trouble>();
  const highest = new Map<unknown, number>();
  let troubledMs = 0;
  let worstMs = 0;
  let calmCalls = 0;
  let neededCalls = 0;

  const drawMs = (mostMs: number) => Math.ceil(random() * mostMs);

  function accept(accepted: Accepted[]): number {
    const number = accepted.length + 1;
    accepted.push({ atMs: fleet.nowMs(), number });
    return number;
  }

  function changeConfig(): void {
    fleet.tables.put(accept(configs));
  }

  function changeUpstreams(): void {
    const newest = accept(upstreams);
    const numbers = Array.from({ length: UPSTREAMS }, (_, at) => newest - at);
    fleet.tables.putUpstreams(numbers.map(getUpstreamId));
  }

  /** How a host is treated while troubles overlap: the newest counts. */
  function applyTreatments(): void {
    fleet.treatAll("served");
    for (const { hosts, tables, treatment } of troubles) {
      for (const host of hosts) {
        for (const table of tables) {
          fleet.tables.treatTable(host, table, treatment);
        }
      }
    }
  }

  function begin(trouble: Trouble): Effect.Effect<void> {
    return Effect.gen(function* () {
      troubles.add(trouble);
      applyTreatments();
      const { kind, hosts, untilMs } = trouble;
      if (kind === "history-dropped") fleet.tables.silenceUntil(untilMs);
      if (kind === "lossy") fleet.loseDatagrams(0.1);
      for (const host of hosts) {
        if (kind === "killed") yield* fleet.killHost(host);
        if (kind === "cut") fleet.cut(host, true);
      }
    });
  }

  function end(trouble: Trouble): Effect.Effect<void> {
    return Effect.gen(function* () {
      troubles.delete(trouble);
      applyTreatments();
      const { kind, hosts } = trouble;
      if (kind === "history-dropped") fleet.tables.dropHistory();
      if (kind === "lossy") fleet.loseDatagrams(0);
      for (const host of hosts) {
        const isDown = fleet.tryGetKnowledge(host) === undefined;
        if (kind === "killed" && isDown) yield* fleet.startHost(host);
        if (kind === "cut") fleet.cut(host, false);
      }
    });
  }

  function noteTrouble(): void {
    const isTroubled = [...troubles].some(({ kind }) => kind !== "turned-away");
    if (isTroubled) troubledMs = fleet.nowMs();
  }

  function check(): void {
    for (const host of fleet.hosts) checkNeverBack(host);
    if (fleet.nowMs() - troubledMs < CALM_MS) return;
    for (const host of fleet.hosts) checkInForce(host);
  }

  function checkNeverBack(host: string): void {
    const knowledge = fleet.tryGetKnowledge(host);
    if (knowledge === undefined) return;
    const { configVersion } = knowledge.getInputs();
    if (configVersion < (highest.get(knowledge) ?? 0)) {
      broken.push(`${fleet.nowMs()} ms: ${host} went back to ${configVersion}`);
    }
    highest.set(knowledge, configVersion);
  }

  function checkInForce(host: string): void {
    const knowledge = fleet.tryGetKnowledge(host);
    const version = knowledge?.getInputs().configVersion ?? 0;
    checkKnown(host, configs, (each) => each.number <= version);
    const ready = new Set(
      knowledge?.directory.getReady("model").map((each) => each.id),
    );
    const isKnown = ({ number }: Accepted) => ready.has(getUpstreamId(number));
    checkKnown(host, upstreams.slice(-UPSTREAMS), isKnown);
  }

  function checkKnown(
    host: string,
    accepted: readonly Accepted[],
    isKnown: (each: Accepted) => boolean,
  ): void {
    const missing = accepted.find((each) => !isKnown(each));
    if (missing === undefined) return;
    const lateMs = fleet.nowMs() - missing.atMs;
    worstMs = Math.max(worstMs, lateMs);
    if (lateMs <= BOUND_MS) return;
    const what = accepted === configs ? "configuration" : "upstream";
    broken.push(
      `${fleet.nowMs()} ms: ${host} lacks ${what} ${missing.number}, ` +
        `accepted ${lateMs} ms before`,
    );
  }

  /** One step without trouble, which began with so many calls and changes. */
  function countCalls(callsBefore: number, changesBefore: number): void {
    const isCalm = troubles.size === 0 &&
      fleet.nowMs() - troubledMs >= 2 * CALM_MS;
    if (!isCalm) return;
    calmCalls += fleet.tables.countCalls() - callsBefore;
    const changes = configs.length + upstreams.length - changesBefore;
    neededCalls += READERS * (TABLE_NAMES.length * STEP_MS / 1_000 + changes);
  }

  await runFleet(Effect.gen(function* () {
    changeConfig();
    changeUpstreams();
    yield* fleet.start;
    let nextTroubleMs = CALM_MS + drawMs(TROUBLE_GAP_MS);
    let nextChangeMs = drawMs(CHANGE_GAP_MS);
    let nextUpstreamMs = drawMs(UPSTREAM_GAP_MS);
    while (fleet.nowMs() < PLAYED_MS) {
      const nowMs = fleet.nowMs();
      const callsBefore = fleet.tables.countCalls();
      const changesBefore = configs.length + upstreams.length;
      if (nowMs >= nextChangeMs) {
        changeConfig();
        nextChangeMs = nowMs + drawMs(CHANGE_GAP_MS);
      }
      if (nowMs >= nextUpstreamMs) {
        changeUpstreams();
        nextUpstreamMs = nowMs + drawMs(UPSTREAM_GAP_MS);
      }
      if (nowMs >= nextTroubleMs) {
        yield* begin(drawTrouble(fleet, random));
        nextTroubleMs = nowMs + getGapMs(random);
      }
      for (const trouble of [...troubles]) {
        if (nowMs >= trouble.untilMs) yield* end(trouble);
      }
      noteTrouble();
      yield* fleet.run(STEP_MS);
      check();
      countCalls(callsBefore, changesBefore);
    }
  }));
  return { seed: options.seed, broken, worstMs, calmCalls, neededCalls };
}

function getUpstreamId(number: number): string {
  return `upstream-${number}`;
}

/** Mostly in series that overlap; now and then long enough apart for calm. */
function getGapMs(random: Random): number {
  const isPause = random() < 0.35;
  return random() * TROUBLE_GAP_MS + (isPause ? 4 * CALM_MS : 0);
}

function drawTrouble(fleet: KnowledgeFleet, random: Random): Trouble {
  const pick = <T>(values: readonly T[]): T =>
    values[Math.floor(random() * values.length)]!;
  const kind = pick(troubleKinds);
  const isPlatforms = ["away", "one-table", "turned-away"].includes(kind);
  return {
    kind,
    untilMs: fleet.nowMs() + drawLengthMs(kind, random),
    hosts: drawHosts(fleet.hosts, kind, random),
    tables: !isPlatforms
      ? []
      : kind === "one-table"
      ? [pick(TABLE_NAMES)]
      : TABLE_NAMES,
    treatment: pick(["refused", "silent"]),
  };
}

function drawLengthMs(kind: TroubleKind, random: Random): number {
  if (kind === "history-dropped") return 1_000;
  if (kind === "killed") return 300 + random() * 3_000;
  return 1_000 + random() * 9_000;
}

function drawHosts(
  hosts: readonly string[],
  kind: TroubleKind,
  random: Random,
): readonly string[] {
  if (kind === "lossy" || kind === "history-dropped") return [];
  if (kind === "away" || kind === "one-table") return hosts;
  const isAll = kind === "killed" && random() < 0.3;
  const share = isAll ? 1 : 1 / 3;
  const from = Math.floor(random() * hosts.length);
  return Array.from(
    { length: Math.ceil(hosts.length * share) },
    (_, at) => hosts[(from + at) % hosts.length]!,
  );
}
