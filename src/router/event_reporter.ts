/**
 * Reports events of a router to the log, the timeline and the metrics, so that
 * other modules depend on none of the three.
 *
 * @module
 */

import type { Logger } from "../diagnostics/mod.ts";
import type { Member } from "../membership/mod.ts";
import type { CrashRecord } from "../quarantine/mod.ts";
import type { RequestEnd } from "../requests/types.ts";
import type { Recorder } from "../timeline/mod.ts";
import type { ConfigVersion } from "../types.ts";
import type { DrainPhase, DrainResult } from "./drain.ts";
import type { RouterMetrics } from "./metrics.ts";

/** Destinations of the reports. */
export interface EventReporterHost {
  readonly logger: Logger;
  readonly recorder: Recorder;
  readonly metrics: RouterMetrics;
}

/** Reports one event per method. */
export interface EventReporter {
  started(publicAddress: string, peerAddress: string): void;
  stopped(result: DrainResult): void;
  drainPhase(phase: DrainPhase): void;
  taskFailed(task: string, reason: string): void;
  platformFailed(reason: string): void;
  configInForce(config: ConfigVersion): void;
  configRefused(version: number, reason: string): void;
  memberChanged(member: Member): void;
  peerLost(peer: string, reason: string): void;
  upstreamLeaving(upstream: string, isLeaving: boolean): void;
  contentQuarantined(record: CrashRecord): void;
  requestEnded(request: string, end: RequestEnd): void;
}

/** Creates the reporter of a router. */
export function createEventReporter(host: EventReporterHost): EventReporter {
  const { logger, recorder, metrics } = host;
  return {
    started: (publicAddress, peerAddress) =>
      logger.write("info", "routerStarted", {
        args: [publicAddress, peerAddress],
      }),
    stopped({ cut, tookMs }) {
      if (cut > 0) logger.write("warn", "drainCut", { args: [cut] });
      logger.write("info", "routerStopped", { args: [Math.round(tookMs)] });
    },
    drainPhase(phase) {
      logger.write("info", "drainPhase", { args: [phase] });
      recorder.record({ kind: "host-draining", reason: phase });
    },
    taskFailed: (task, reason) =>
      logger.write("error", "taskFailed", { args: [task, reason] }),
    platformFailed: (reason) =>
      logger.write("warn", "platformFailed", { args: [reason] }),
    configInForce({ version, digest }) {
      logger.write("info", "configInForce", { args: [version] });
      recorder.record({ kind: "config-in-force", version, digest });
    },
    configRefused: (version, reason) =>
      logger.write("error", "configRefused", { args: [version, reason] }),
    memberChanged({ host: member, state }) {
      logger.write("info", "memberChanged", { args: [member, state] });
      recorder.record({ kind: "member-changed", member, state });
    },
    peerLost(peer, reason) {
      metrics.addPeerLost();
      logger.write("warn", "peerLost", {
        args: [peer, reason],
        fields: { peer },
      });
    },
    upstreamLeaving: (upstream, isLeaving) =>
      logger.write("info", "upstreamLeaving", {
        args: [upstream, String(isLeaving)],
      }),
    contentQuarantined: ({ fingerprint, crashes }) =>
      recorder.record({ kind: "content-quarantined", fingerprint, crashes }),
    requestEnded(request, end) {
      metrics.observeEnd(end);
      logger.write("debug", "requestEnded", {
        args: [end.outcome],
        fields: { request, team: end.team, outcome: end.outcome },
      });
    },
  };
}
