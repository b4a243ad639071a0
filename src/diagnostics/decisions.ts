/**
 * The decisions that an entry host logs. Names and fields are part of what
 * operators rely on: docs/OPERATIONS.md explains each.
 *
 * @module
 */

import type { Outcome } from "../types.ts";

/** Where a decision's inputs came from, and how new they were. */
export interface Inputs {
  /** The operator's version of the configuration in force. */
  readonly configVersion: number;
  /** The platform's era, by the list of upstreams; absent if it names none. */
  readonly platformEra?: number | undefined;
  /** The platform's version of the list of upstreams, in that era. */
  readonly upstreamsVersion: number;
  /** Time since a host last read the older of both at the platform, in ms. */
  readonly confirmedMsAgo: number;
}

/** Load and shares as the queue saw them when it refused a prompt. */
export interface QueueInputs {
  readonly waitedMs: number;
  /** Prompts that waited at the host. */
  readonly waiting: number;
  /** 0: yields to none; 1: sparse; 2: of a team over its share. */
  readonly yields: 0 | 1 | 2;
  /** What the team was given of late, over its fair share. */
  readonly shareUsed: number;
  /** Of a prompt refused before it waited: what of its kind did, and started. */
  readonly backlog?: {
    readonly waiting: number;
    readonly startedPerSecond: number;
  };
  /** Tokens that an upstream may have to read at once, for all but it. */
  readonly limitTokens: number | undefined;
  /** The upstream that it waited for, and that one's load from all hosts. */
  readonly upstream: string | undefined;
  readonly load:
    | {
      readonly slots: number;
      readonly inFlight: number;
      /** Tokens being read there, attention counted. */
      readonly readingTokens: number;
      /** Prompts of underserved teams, waiting for it at other hosts. */
      readonly underservedElsewhere: number;
    }
    | undefined;
}

/** A decision with what decided it. */
export type Decision =
  | {
    readonly event: "attempt-started";
    readonly request: string;
    readonly team: string | undefined;
    readonly upstream: string;
    readonly attempt: number;
    readonly waitedMs: number;
    /** Of it, in the queue; absent for what doesn't wait there. */
    readonly queuedMs: number | undefined;
    /** The present turn of the event loop has taken so long. */
    readonly turnMs: number;
    /** What is read now may have waited so long unread. */
    readonly unreadMs: number;
    /** Requests of this host at the upstream, this one not counted. */
    readonly inFlight: number;
    /** Tokens to read there, attention counted, as far as this host knows. */
    readonly readingTokens: number | undefined;
    readonly inputs: Inputs;
  }
  | {
    readonly event: "attempt-failed";
    readonly request: string;
    readonly upstream: string;
    readonly attempt: number;
    readonly kind: string;
    readonly reason: string;
    /** What is done next. */
    readonly next: "another-upstream" | "resume" | "give-up";
    /** Why there is no further attempt. */
    readonly because: string | undefined;
  }
  | {
    readonly event: "request-ended";
    readonly request: string;
    readonly team: string | undefined;
    readonly route: string | undefined;
    readonly outcome: Outcome | "caller-left";
    readonly status: number;
    readonly reason: string;
    readonly upstream: string | undefined;
    readonly attempts: number;
    /** Since the latest attempt began; absent without one. */
    readonly sinceAttemptMs: number | undefined;
    readonly totalMs: number;
    /** Of a stream; absent before its first event. */
    readonly firstEventMs: number | undefined;
    /** Pieces of a stream passed on. */
    readonly chunks: number;
    /** Between two pieces of a stream. */
    readonly longestPauseMs: number | undefined;
    readonly retryAfterMs: number | undefined;
    /** What a refusal by the queue was decided from. */
    readonly queue: QueueInputs | undefined;
    readonly inputs: Inputs;
  }
  | {
    /** This host takes no new callers for now, or does again. */
    readonly event: "intake-changed";
    readonly isFull: boolean;
    /** Of the event loop, over the last second. */
    readonly meanTurnMs: number;
  }
  | {
    /** What upstreams of the service may have to read at once is another. */
    readonly event: "reading-limit-changed";
    readonly service: string;
    readonly limitTokens: number;
    /** Tokens that are read within the service's target, as learned. */
    readonly inTimeTokens: number;
    /** Share of the answers of the last seconds that paused too long. */
    readonly lateShare: number;
  }
  | {
    readonly event: "config-in-force";
    readonly version: number;
    readonly platformEra?: number | undefined;
    readonly platformVersion: number;
    readonly from: string;
  }
  | {
    /** The platform has come back from an older copy of itself. */
    readonly event: "platform-era-changed";
    readonly table: string;
    /** The platform, or the host that has passed the table on. */
    readonly from: string;
    readonly era: number;
    readonly platformVersion: number;
    /** Of the copy that this host had. */
    readonly lastEra: number;
    readonly lastVersion: number;
  }
  | {
    /** Answers of the platform name no era that can be read, or do again. */
    readonly event: "platform-era-unnamed" | "platform-era-named";
    /** What stands in the answer instead; absent for nothing. */
    readonly text: string | undefined;
  }
  | {
    readonly event: "upstream-changed";
    readonly upstream: string;
    readonly service: string;
    readonly address: string;
    readonly change: string;
    /** The platform's table, the upstream's own answer, or another host. */
    readonly from: string;
    readonly platformEra?: number | undefined;
    readonly platformVersion: number;
  }
  | {
    /** An upstream said something of itself in an answer. */
    readonly event: "upstream-said";
    readonly request: string;
    readonly upstream: string;
    /** Wall milliseconds of its start. */
    readonly incarnation: number;
    readonly status: number;
    readonly said: "leaving" | "rest" | "unreadable-rest";
    /** How long it wants no request from this host. */
    readonly restMs: number | undefined;
    /** What can't be read. */
    readonly text: string | undefined;
  }
  | {
    readonly event: "member-changed";
    readonly member: string;
    readonly state: string;
    readonly incarnation: number;
  }
  | {
    /** This host begins to read a table at the platform, or leaves it. */
    readonly event: "table-reader-changed";
    readonly table: string;
    readonly reads: boolean;
    readonly because: string;
    /** Hosts that it passed over, since the platform turned them away. */
    readonly passedOver: number;
    /** Time since it heard that a host had read the table, in ms. */
    readonly unconfirmedMs: number;
  }
  | {
    /** Another host had a newer copy of a table and did not give it. */
    readonly event: "table-not-fetched";
    readonly table: string;
    readonly peer: string;
    readonly tookMs: number;
  }
  | {
    readonly event: "platform-lost" | "platform-regained";
    readonly table: string;
    readonly reason: string;
  }
  | {
    readonly event: "row-unreadable";
    readonly table: string;
    readonly key: string;
    readonly platformVersion: number;
    readonly reason: string;
  }
  | {
    readonly event: "content-suspected";
    readonly fingerprint: string;
    readonly crashes: number;
    readonly request: string | undefined;
  }
  | {
    readonly event: "started";
    readonly name: string;
    readonly incarnation: number;
    readonly callers: string;
    readonly peers: string;
  }
  | {
    readonly event: "settings-reloaded" | "settings-refused";
    readonly reason: string;
  }
  | {
    readonly event: "drain-phase";
    readonly phase: string;
    readonly inFlight: number;
  }
  | { readonly event: "stopped"; readonly cut: number; readonly tookMs: number }
  | {
    readonly event: "task-failed";
    readonly task: string;
    readonly reason: string;
  }
  | { readonly event: "log-lines-dropped"; readonly lines: number };
