/**
 * This host's view of the platform: replicas of its tables, from which the
 * routes and the upstream directory derive. The replicas are kept current by
 * reading the platform or by fetching from the hosts that do.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import type { Decision, Inputs } from "../diagnostics/mod.ts";
import {
  createEvacuations,
  createTableDistribution,
  createTableReplica,
  createUpstreamDirectory,
  decideToRead,
  type EntryPlatform,
  followTable,
  type OperatorRow,
  type ReadingDecision,
  readTableOnce,
  REPORT_KEY_PREFIX,
  TABLE_NAMES,
  type TableDistribution,
  type TableError,
  type TableName,
  type TableReplica,
  type TableRow,
  type UpstreamDirectory,
  type UpstreamEntry,
  type UpstreamInstance,
} from "../discovery/mod.ts";
import type { Fact } from "../membership/mod.ts";
import { createEraTracker } from "./era_tracker.ts";
import { createTableCopies, type TableCopiesHost } from "./table_copies.ts";
import {
  createLeavingFact,
  LEAVING_KEY_PREFIX,
  parseLeavingFact,
} from "./upstream_leaving_facts.ts";
import {
  createRouteTable,
  type RouteTable,
  type RoutingConfig,
} from "../routing/mod.ts";

/** Dependencies of a platform view. */
export interface PlatformViewHost
  extends Pick<TableCopiesHost, "fetchTable" | "onFetched"> {
  readonly clock: Clock;
  readonly platform: EntryPlatform;
  readonly peerAddress: string;
  readonly incarnation: number;
  random(): number;
  /** The region of each declared data centre. */
  readonly regions: ReadonlyMap<string, string>;
  log(decision: Decision): void;
  /** Called when the platform was restored from an older backup. */
  onPlatformRestored(): void;
  /** Called when an upstream process is known to be running. */
  onUpstreamAdded(upstream: UpstreamEntry): void;
  /** Called with all rows of upstreams before a change of them is in force. */
  onUpstreamRows(rows: readonly TableRow<UpstreamEntry>[]): void;
  /** Called when a data centre was taken back after an evacuation. */
  onEvacuationEnded(dataCentre: string): void;
  /** Peer addresses of the hosts that are alive, including this one. */
  getHosts(): readonly string[];
  broadcastFact(fact: Fact): void;
  gossipFact(fact: Fact): void;
}

/** A host's view of the platform. */
export interface PlatformView {
  readonly directory: UpstreamDirectory;
  /** Returns `undefined` until a configuration is known. */
  tryGetRoutes(): RouteTable | undefined;
  /** The evacuated data centres; another set after each change. */
  getEvacuated(): ReadonlySet<string>;
  getInputs(): Inputs;
  /**
   * Processes a fact from another host: a reader's report or a leaving
   * upstream.
   */
  receive(fact: Fact): void;
  /**
   * Records that an upstream announced to this host that it is leaving, and
   * reports this to the other hosts.
   */
  markLeaving(instance: UpstreamInstance): void;
  /**
   * A table's encoded snapshot for other hosts; `undefined` if the table is
   * unknown or has never been read.
   */
  tryGetTable(name: string): Uint8Array | undefined;
  /**
   * Reads the upstreams from the platform, whoever else reads them; the read
   * begins when the effect does.
   */
  readonly readUpstreams: Effect.Effect<void, TableError>;
  /** Follows the platform's tables until the effect is interrupted. */
  readonly run: Effect.Effect<never>;
}

/** Creates the view of a host that has not read any table. */
export function createPlatformView(host: PlatformViewHost): PlatformView {
  const config = createTableReplica<OperatorRow>();
  const upstreams = createTableReplica<UpstreamEntry>();
  const tables: Record<TableName, TableReplica<unknown>> = {
    config: config as TableReplica<unknown>,
    upstreams: upstreams as TableReplica<unknown>,
  };
  const copies = createTableCopies({
    clock: host.clock,
    log: host.log,
    fetchTable: host.fetchTable,
    onFetched: host.onFetched,
    onNewer: onChanged,
  }, tables);
  const unreachable = new Set<TableName>();
  const decisions = new Map<TableName, ReadingDecision>();
  const eras = createEraTracker({
    clock: host.clock,
    log: host.log,
    onRestored: host.onPlatformRestored,
  });
  let routes: RouteTable | undefined;

  const distribution: TableDistribution = createTableDistribution({
    clock: host.clock,
    peerAddress: host.peerAddress,
    incarnation: host.incarnation,
    broadcast: host.broadcastFact,
    gossip: host.gossipFact,
    countHosts: () => host.getHosts().length,
    getPosition: (table) => tables[table].getPosition(),
    getChangedPosition: (table) => tables[table].getChangedPosition(),
    onOutageEnded: (outage) =>
      host.log({
        event: "platform-outage-ended",
        ...outage,
        lastedMs: roundMs(outage.lastedMs),
      }),
    onUnreadable: (key) =>
      host.log({
        event: "task-failed",
        task: "read report",
        reason: `"${key}" says nothing that this host can read`,
      }),
    onNewer: (table, peer, position) =>
      copies.fetches[table].offer(peer, position),
  });
  const directory = createUpstreamDirectory({
    clock: host.clock,
    getPlatformReturnMs,
    onChange(entry, change, from) {
      if (change === "added") host.onUpstreamAdded(entry);
      host.log({
        event: "upstream-changed",
        upstream: entry.id,
        service: entry.service,
        address: entry.address,
        softwareVersion: entry.softwareVersion,
        change,
        from,
        platformEra: upstreams.getPosition().era,
        platformVersion: upstreams.getPosition().version,
        ...(change === "kept" ? { platformReturnMsAgo: getReturnMsAgo() } : {}),
      });
    },
  });

  function getPlatformReturnMs(): number {
    return Math.max(
      distribution.getOutageEndMs("upstreams"),
      eras.getRestoredMs(),
    );
  }

  function getReturnMsAgo(): number {
    return roundMs(host.clock.monotonicMs() - getPlatformReturnMs());
  }

  const evacuations = createEvacuations({
    clock: host.clock,
    onChange(dataCentre, change) {
      if (change === "ended") host.onEvacuationEnded(dataCentre);
      host.log({
        event: `evacuation-${change}`,
        dataCentre,
        isDeclared: host.regions.has(dataCentre),
        platformEra: config.getPosition().era,
        platformVersion: config.getPosition().version,
      });
    },
  });

  function updateFromOperators(from: string): void {
    const evacuated = new Set<string>();
    for (const { value } of config.getRows().values()) {
      if (value.kind === "evacuation") evacuated.add(value.dataCentre);
      else updateRoutes(value.config, from);
    }
    evacuations.update(evacuated, config.getPosition());
  }

  /** Puts a newer version of the configuration into force, never an older one. */
  function updateRoutes(next: RoutingConfig, from: string): void {
    if (next.version <= (routes?.config.version ?? -1)) return;
    routes = createRouteTable(next);
    logUndeclaredRegions(next);
    for (const problem of next.problems) {
      host.log({ event: "config-doubtful", version: next.version, problem });
    }
    host.log({
      event: "config-in-force",
      version: next.version,
      platformEra: config.getPosition().era,
      platformVersion: config.getPosition().version,
      from,
    });
  }

  /** Nothing can run in a region that no data centre belongs to. */
  function logUndeclaredRegions({ version, routes, teams }: RoutingConfig) {
    const declared = new Set(host.regions.values());
    const named = [...routes, ...teams].flatMap((each) => each.allowedRegions);
    const undeclared = new Set(named.filter((each) => !declared.has(each)));
    for (const region of undeclared) {
      host.log({ event: "region-undeclared", region, version });
    }
  }

  function onChanged(table: TableName, from: string): void {
    eras.recordPosition(table, tables[table].getPosition(), from);
    if (table === "config") updateFromOperators(from);
    else {
      host.onUpstreamRows([...upstreams.getRows().values()]);
      directory.update(upstreams.getRows(), upstreams.getPosition());
    }
  }

  /**
   * Time since this host's replica was last known to be current. A version that
   * it lacks makes it older than the latest read by any host.
   */
  function getReplicaAgeMs(table: TableName): number {
    return Math.max(
      distribution.getUnconfirmedMs(table),
      copies.fetches[table].getLackedMs(),
    );
  }

  function isReader(table: TableName): boolean {
    const unconfirmedMs = distribution.getUnconfirmedMs(table);
    copies.fetches[table].tick();
    const decision = decideToRead({
      self: host.peerAddress,
      hosts: host.getHosts(),
      hasRecentFailure: (peer) => distribution.hasRecentFailure(table, peer),
      unconfirmedMs,
      lackedMs: copies.fetches[table].getLackedMs(),
    });
    logDecision(table, decision, unconfirmedMs);
    return decision.reads;
  }

  function logDecision(
    table: TableName,
    decision: ReadingDecision,
    unconfirmedMs: number,
  ): void {
    const known = decisions.get(table);
    decisions.set(table, decision);
    const isSame = known?.reads === decision.reads &&
      known.because === decision.because;
    if (isSame) return;
    host.log({
      event: "table-reader-changed",
      table,
      ...decision,
      unconfirmedMs: roundMs(unconfirmedMs),
    });
  }

  function onRead(name: TableName, changed: boolean): void {
    // Whether this read ends an outage decides what the change means.
    copies.fetches[name].recordRead();
    // What a host that was behind reads is known to all others.
    const mayReport = decisions.get(name)?.because !== "behind";
    distribution.recordRead(name, changed, { mayReport });
    if (changed) onChanged(name, "platform");
  }

  function followPlatformTable(name: TableName): Effect.Effect<never> {
    return followTable<unknown>({
      clock: host.clock,
      source: host.platform[name],
      table: tables[name],
      isReader: () => isReader(name),
      random: host.random,
      onAnswer(changed) {
        if (unreachable.delete(name)) {
          const reason = "The platform answers again";
          host.log({ event: "platform-regained", table: name, reason });
        }
        onRead(name, changed);
      },
      onFailure(err) {
        if (!unreachable.has(name)) {
          const { reason } = err;
          host.log({ event: "platform-lost", table: name, reason });
        }
        unreachable.add(name);
        distribution.recordFailure(name);
      },
      onDefect(defect) {
        const reason = String(defect);
        host.log({ event: "task-failed", task: `follow ${name}`, reason });
      },
    });
  }

  const readUpstreams = readTableOnce({
    source: host.platform.upstreams,
    table: upstreams,
  }).pipe(Effect.map((changed) => onRead("upstreams", changed)));

  return {
    directory,
    readUpstreams,
    tryGetRoutes: () => routes,
    getEvacuated: evacuations.getAll,
    getInputs: () => ({
      configVersion: routes?.config.version ?? 0,
      platformEra: upstreams.getPosition().era,
      upstreamsVersion: upstreams.getPosition().version,
      confirmedMsAgo: roundMs(
        Math.max(...TABLE_NAMES.map(getReplicaAgeMs)),
      ),
    }),
    receive(fact) {
      if (fact.key.startsWith(REPORT_KEY_PREFIX)) distribution.receive(fact);
      else if (fact.key.startsWith(LEAVING_KEY_PREFIX)) {
        directory.markLeaving(parseLeavingFact(fact), "host");
      }
    },
    markLeaving(instance) {
      if (!directory.markLeaving(instance, "answer")) return;
      host.broadcastFact(createLeavingFact(instance));
    },
    tryGetTable(name) {
      const table = tables[name as TableName];
      if (table === undefined) return undefined;
      if (table.getPosition().version === 0) return undefined;
      return copies.getEncoded(name as TableName);
    },
    run: Effect.all([
      followPlatformTable("config"),
      followPlatformTable("upstreams"),
    ], {
      concurrency: "unbounded",
    }).pipe(Effect.andThen(Effect.never)),
  };
}

/** Rounds to whole ms. `Infinity` is capped, since JSON can't represent it. */
function roundMs(ms: number): number {
  return Math.round(Math.min(ms, Number.MAX_SAFE_INTEGER));
}
