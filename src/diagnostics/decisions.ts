/**
 * The decisions that an entry host logs. Operators rely on the names and the
 * fields; docs/OPERATIONS.md documents each of them.
 *
 * @module
 */

import type { Outcome } from "../types.ts";
import type { UncaughtError } from "./runtime_watch.ts";
import type { RuntimeWarning } from "./runtime_warnings.ts";

/** The versions and the age of the data that a decision was based on. */
export interface Inputs {
  /** Version of the configuration in force. */
  readonly configVersion: number;
  /** The platform's era in the list of upstreams; absent if it names none. */
  readonly platformEra?: number | undefined;
  /** The platform's version of the list of upstreams within that era. */
  readonly upstreamsVersion: number;
  /**
   * Time in ms since a host last read both from the platform: the larger of the
   * two ages.
   */
  readonly confirmedMsAgo: number;
}

/** Load and shares that the queue knew when it refused a prompt. */
export interface QueueInputs {
  readonly waitedMs: number;
  /** Prompts in the queue of the host. */
  readonly waiting: number;
  /** 0: yields to no others; 1: inefficient; 2: of a team over its share. */
  readonly yields: 0 | 1 | 2;
  /** The service that the team recently got, divided by its fair share. */
  readonly shareUsed: number;
  /**
   * For a prompt refused on arrival: the queued requests of its team and route,
   * and the rate at which they start.
   */
  readonly backlog?: {
    readonly waiting: number;
    readonly startedPerSecond: number;
  };
  /** Limit of prefill tokens in flight at an upstream, without this prompt. */
  readonly limitTokens: number | undefined;
  /** The upstream that the prompt waited for; `load` is its load. */
  readonly upstream: string | undefined;
  readonly load:
    | {
      readonly slots: number;
      readonly inFlight: number;
      /** Tokens being prefilled there, with the cost of attention. */
      readonly readingTokens: number;
      /** Prompts of underserved teams that wait for it at other hosts. */
      readonly underservedElsewhere: number;
      /** Whether it is cold and gets no request of this host at the moment. */
      readonly isWarmUpSpent: boolean;
    }
    | undefined;
}

/**
 * How the end of a response body is marked: by its length, by the closing chunk,
 * by the end of the connection, or not at all, as there is no body.
 */
export type BodyFraming = "length" | "chunked" | "until-close" | "none";

/**
 * How the upstream's connection ended, as far as known when the line is written:
 *
 * - `kept`: it was kept for the next request.
 * - `closed`: an orderly end, from either side; also a reset that arrived
 *   together with the last bytes, which Node reports as such.
 * - `failed`: an error, such as a reset.
 * - `aborted`: this host closed it before the end of the response.
 * - `open`: the response had not ended yet.
 */
export type BodyConnection =
  | "kept"
  | "closed"
  | "failed"
  | "aborted"
  | "open";

/** What became of the body of an upstream's response. Sizes without framing. */
export interface LoggedBody {
  readonly framing: BodyFraming;
  /** `Content-Length` of the response; absent with any other framing. */
  readonly announcedBytes: number | undefined;
  /** Bytes that had arrived when the connection ended. */
  readonly receivedBytes: number;
  /** Bytes of them that were handed to the reader of this host. */
  readonly readBytes: number;
  /** Bytes of them that were never read. */
  readonly unreadBytes: number;
  /** Bytes that were given to the response to the caller. */
  readonly relayedBytes: number;
  /** Whether the end of the body had arrived, read or not. */
  readonly isEndReceived: boolean;
  /** Time for which reading was paused because the caller did not read. */
  readonly pausedMs: number;
  readonly connection: BodyConnection;
  /** Code of the error of a failed connection, such as `ECONNRESET`. */
  readonly code: string | undefined;
}

/** How the version of a stream was sought. */
export interface StreamVersionInputs {
  readonly request: string;
  /** The earlier request whose stream the caller takes up. */
  readonly resumes: string | undefined;
  readonly tookMs: number;
  /** Hosts that were asked, and how many of them answered. */
  readonly asked: number;
  readonly answered: number;
}

/** What an attempt waited for when its time-out passed. */
export type SilencePhase = "connect" | "head" | "events" | "body";

/** An attempt whose time-out passed. */
export interface LoggedSilence {
  readonly phase: SilencePhase;
  /**
   * Time since this phase began, or since the latest part of the response was
   * read, without the time for which the caller did not read.
   */
  readonly silentMs: number;
  /** The time-out. */
  readonly limitMs: number;
  /** Whether this host had closed the attempt when it chose the next step. */
  readonly isAborted: boolean;
}

/**
 * Whether the choice of the next step took a retry from the budget. It asks for
 * one only if all else allows another attempt.
 */
export type RetryUse = "taken" | "refused" | "not-asked";

/** A decision with the data that it was based on. */
export type Decision =
  | {
    readonly event: "attempt-started";
    readonly request: string;
    readonly team: string | undefined;
    readonly upstream: string;
    /** Version of the upstream's software; absent if its entry names none. */
    readonly softwareVersion: string | undefined;
    /**
     * Software version of the upstream that brought the stream's first event;
     * absent before this host has relayed any.
     */
    readonly streamVersion: string | undefined;
    /** The earlier request whose stream the caller takes up. */
    readonly resumes: string | undefined;
    readonly attempt: number;
    readonly waitedMs: number;
    /** The part of `waitedMs` in the queue; absent if it is not queued. */
    readonly queuedMs: number | undefined;
    /**
     * Time from the first request for a grant of an upstream's owner to the
     * grant; absent if it started without one.
     */
    readonly grantMs?: number | undefined;
    /** Duration of the current event-loop iteration so far. */
    readonly turnMs: number;
    /** Time that input read now may have waited unread in the socket. */
    readonly unreadMs: number;
    /** Other requests of this host at the upstream. */
    readonly inFlight: number;
    /**
     * Tokens to prefill there, with the cost of attention, as far as this host
     * knows.
     */
    readonly readingTokens: number | undefined;
    /**
     * Id of the upstream from which it is to fetch the shared prefix; absent if
     * it is to fetch none.
     */
    readonly fetchFrom: string | undefined;
    /** The part of `readingTokens` that a fetch was expected to cost. */
    readonly fetchTokens: number | undefined;
    /**
     * `copy`: fewer than three upstreams held the prefix. `spillover`: this one
     * was idle, and the prompt would have been refused soon.
     */
    readonly fetchReason: "copy" | "spillover" | undefined;
    /**
     * How the upstream gets the shared prefix: it was sent a prompt with it
     * before, fetches it, or reads (prefills) it. Absent if the prefix is short,
     * or if the service's upstreams do not fetch prefixes.
     */
    readonly prefix: "held" | "fetched" | "read" | undefined;
    readonly inputs: Inputs;
  }
  | {
    readonly event: "attempt-failed";
    readonly request: string;
    readonly upstream: string;
    readonly attempt: number;
    readonly kind: string;
    readonly reason: string;
    /** The next step for the request. */
    readonly next: "another-upstream" | "resume" | "keep-other" | "give-up";
    /** Reason why there is no further attempt. */
    readonly because: string | undefined;
    /** Upstreams that the request could be sent to next. */
    readonly candidates: number;
    readonly retry: RetryUse;
    readonly remainingMs: number;
    /** Whether the response to the caller had begun. */
    readonly isBegun: boolean;
    /**
     * Result of the connection attempt that was to prove a body without a
     * length; absent unless it did not.
     */
    readonly contact: string | undefined;
    /** Absent unless a time-out of the attempt passed. */
    readonly silence: LoggedSilence | undefined;
    /** Digest of the content, if it may have crashed the upstream. */
    readonly fingerprint: string | undefined;
    /** Likewise the parts of its prompt that other requests may have as well. */
    readonly parts: readonly string[] | undefined;
    /** Likewise the time for which events had come; absent before the first. */
    readonly sinceFirstEventMs: number | undefined;
    /** The body of the response of this attempt; absent if none had begun. */
    readonly body: LoggedBody | undefined;
  }
  | {
    /**
     * The upstream of an attempt sends nothing, and the attempt goes on. Logged
     * when this begins and when the decision changes.
     */
    readonly event: "attempt-silent";
    readonly request: string;
    readonly upstream: string;
    readonly attempt: number;
    readonly silence: LoggedSilence;
    readonly next: "seek-another" | "wait";
    /** Reason why the request was not sent to another upstream. */
    readonly because: string | undefined;
    /** Upstreams that the request could be sent to as well. */
    readonly candidates: number;
    readonly remainingMs: number;
    /** Whether the response to the caller had begun. */
    readonly isBegun: boolean;
  }
  | {
    readonly event: "drained-body-closed";
    readonly request: string;
    readonly upstream: string;
    readonly reason: string;
    /** Bytes of the body that were read and dropped. */
    readonly readBytes: number;
  }
  | {
    readonly event: "answer-dropped";
    readonly request: string;
    /** Bytes that the caller had not read. */
    readonly unsentBytes: number;
  }
  | {
    readonly event: "request-ended";
    readonly request: string;
    readonly team: string | undefined;
    readonly route: string | undefined;
    readonly outcome: Outcome | "caller-left";
    readonly status: number;
    /** A response that had begun was closed before its end by this host. */
    readonly isCut: boolean;
    readonly reason: string;
    readonly upstream: string | undefined;
    readonly attempts: number;
    /** Phase of the request's latest silence; absent without one. */
    readonly silentPhase: SilencePhase | undefined;
    /**
     * For how long the upstream of the latest attempt had been silent; absent
     * without an attempt, and for a response that was relayed.
     */
    readonly silentMs: number | undefined;
    /** Time since the start of the last attempt; absent without one. */
    readonly sinceAttemptMs: number | undefined;
    readonly totalMs: number;
    /** Time to the first event of a stream; absent before it. */
    readonly firstEventMs: number | undefined;
    /** Chunks of a stream that were relayed to the caller. */
    readonly chunks: number;
    /**
     * Software versions of the upstreams whose events were relayed, in order,
     * each once; `null` in the line for one that no entry names. Absent without
     * any event.
     */
    readonly eventVersions: readonly (string | undefined)[] | undefined;
    /** The earlier request whose stream the caller takes up. */
    readonly resumes: string | undefined;
    /** Longest time between two chunks of a stream. */
    readonly longestPauseMs: number | undefined;
    readonly retryAfterMs: number | undefined;
    /** The data that a refusal by the queue was based on. */
    readonly queue: QueueInputs | undefined;
    /**
     * The body of the response of the latest attempt; absent if none had begun,
     * or if it is in the line of that attempt's failure.
     */
    readonly body: LoggedBody | undefined;
    readonly inputs: Inputs;
  }
  | {
    /** This host stopped or resumed accepting new callers. */
    readonly event: "intake-changed";
    readonly isFull: boolean;
    /** Mean duration of event-loop iterations over the last second. */
    readonly meanTurnMs: number;
  }
  | {
    /**
     * The limit of prefill tokens in flight changed for a service's upstreams,
     * or for one of them.
     */
    readonly event: "reading-limit-changed";
    readonly service: string;
    /** Absent if the limit is that of the service. */
    readonly upstream?: string;
    readonly limitTokens: number;
    /**
     * Tokens that are prefilled within the target, as measured: the shortest of
     * the service, or the longest of the prompts at the upstream.
     */
    readonly inTimeTokens: number;
    /** Share of the responses of the last seconds that paused too long. */
    readonly lateShare: number;
  }
  | {
    /** An upstream gets another share of the shared prefixes. */
    readonly event: "upstream-weight-changed";
    readonly upstream: string;
    /** 1 is the share of an upstream of mean speed. */
    readonly weight: number;
    /** Speed relative to the mean of the service, as measured. */
    readonly speed: number;
    /** First events of all hosts behind it, of which recent ones count most. */
    readonly samples: number;
  }
  | {
    readonly event: "config-in-force";
    readonly version: number;
    readonly platformEra?: number | undefined;
    readonly platformVersion: number;
    readonly from: string;
  }
  | {
    /** Operators evacuate a data centre, or have taken it back. */
    readonly event: "evacuation-began" | "evacuation-ended";
    readonly dataCentre: string;
    /** Whether this host's settings name the data centre. */
    readonly isDeclared: boolean;
    readonly platformEra?: number | undefined;
    readonly platformVersion: number;
  }
  | {
    /** An upstream is taken for cold; it gets few requests until it is warm. */
    readonly event: "upstream-cold";
    readonly upstream: string;
    readonly service: string;
    /** Wall milliseconds of the start of the upstream. */
    readonly incarnation: number;
    readonly because: "unknown" | "entry" | "answer" | "evacuation-ended";
    readonly leftMs: number;
  }
  | {
    /** A part of the configuration makes no sense; the rest is in force. */
    readonly event: "config-doubtful";
    readonly version: number;
    /** The part, and what holds instead. */
    readonly problem: string;
  }
  | {
    /** A route or a team allows a region to which no data centre belongs. */
    readonly event: "region-undeclared";
    readonly region: string;
    /** Version of the configuration. */
    readonly version: number;
  }
  | {
    /** The platform was restored from an older backup. */
    readonly event: "platform-era-changed";
    readonly table: string;
    /** The platform, or the host that sent the table. */
    readonly from: string;
    readonly era: number;
    readonly platformVersion: number;
    /** Era and version of the replica that this host had. */
    readonly lastEra: number;
    readonly lastVersion: number;
  }
  | {
    /** Responses of the platform have no readable era, or have one again. */
    readonly event: "platform-era-unnamed" | "platform-era-named";
    /** The text in place of the era; absent if there is none. */
    readonly text: string | undefined;
  }
  | {
    readonly event: "upstream-changed";
    readonly upstream: string;
    readonly service: string;
    readonly address: string;
    /** Version of its software; absent if its entry names none. */
    readonly softwareVersion?: string | undefined;
    readonly change: string;
    /** The platform's table, a response of the upstream, or another host. */
    readonly from: string;
    readonly platformEra?: number | undefined;
    readonly platformVersion: number;
    /** For an entry that is kept: time since the platform's return, in ms. */
    readonly platformReturnMsAgo?: number;
  }
  | {
    /** An upstream signalled its state in a response. */
    readonly event: "upstream-said";
    readonly request: string;
    readonly upstream: string;
    /** Wall milliseconds of the start of the upstream. */
    readonly incarnation: number;
    readonly status: number;
    readonly said: "leaving" | "replaced" | "rest" | "unreadable-rest";
    /** Back-off: how long it asked this host not to send requests. */
    readonly restMs: number | undefined;
    /**
     * The text that can't be read, or the id of the upstream that has the
     * address now.
     */
    readonly text: string | undefined;
  }
  | {
    /** This host starts or stops preferring other upstreams to this one. */
    readonly event: "upstream-unhealthy" | "upstream-healthy";
    readonly upstream: string;
    /** The reason of the unhealthy state that starts or ends here. */
    readonly because: "unreachable" | "silent" | "failures";
    /** Requests of this host in flight there. */
    readonly inFlight: number;
    /** Time since bytes of a response arrived or the only request began. */
    readonly silentMs: number;
    /** Share of the latest requests that failed. */
    readonly failureShare: number;
    /** Time since the start was logged; absent at the start. */
    readonly lastedMs: number | undefined;
  }
  | {
    readonly event: "member-changed";
    readonly member: string;
    readonly state: string;
    readonly incarnation: number;
  }
  | {
    /** This host starts or stops reading a table from the platform. */
    readonly event: "table-reader-changed";
    readonly table: string;
    readonly reads: boolean;
    readonly because: string;
    /** Hosts that were skipped as readers since their reads failed. */
    readonly passedOver: number;
    /** Time since the last reported successful read of the table, in ms. */
    readonly unconfirmedMs: number;
  }
  | {
    /** A table was read again, after a time in which no host could read it. */
    readonly event: "platform-outage-ended";
    readonly table: string;
    /** Time between the two reads, in ms. */
    readonly lastedMs: number;
    /** Hosts that are known to have tried. */
    readonly failedHosts: number;
  }
  | {
    /** Another host had a newer version of a table and did not send it. */
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
    /** A content or a part was running at an upstream process that ended. */
    readonly event: "content-suspected" | "part-suspected";
    /** Digest of the content, or name of the part. */
    readonly subject: string;
    /** Crashes of the subject that this host knows of. */
    readonly crashes: number;
    /** Incarnation and id of the upstream. */
    readonly process: string;
    /** How this host learned of it. */
    readonly from: string;
  }
  | {
    /** The subject merely ran beside the cause of crashes. */
    readonly event: "content-cleared" | "part-cleared";
    readonly subject: string;
    readonly crashes: number;
    readonly from: string;
  }
  | {
    /**
     * The subject has reached its limit of crashes, and is refused: a part
     * unless other suspect parts, which a request lacks, explain them.
     */
    readonly event: "content-blocked" | "part-blocked";
    readonly subject: string;
    readonly crashes: number;
    /** Moments at which they happened. */
    readonly moments: number;
    /** The upstream processes that ended. */
    readonly processes: readonly string[];
  }
  | {
    /** This host handed connections off in the last second, or tried to. */
    readonly event: "connections-handed-off";
    /** Hosts that were asked, by outcome. */
    readonly taken: number;
    readonly refused: number;
    readonly unreachable: number;
    /** Peer addresses of the hosts that took connections. */
    readonly targets: readonly string[];
    /** Connections that this host hands off at present. */
    readonly open: number;
    /** Utilization of this host's event loop, from 0 to 1. */
    readonly utilization: number;
  }
  | {
    /** Other hosts handed connections off to this host in the last second. */
    readonly event: "connections-received";
    readonly taken: number;
    readonly refused: number;
    /** IP addresses of the hosts whose connections were taken. */
    readonly origins: readonly string[];
    /** Handed-off connections that this host serves at present. */
    readonly open: number;
    /** Utilization of this host's event loop, from 0 to 1. */
    readonly utilization: number;
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
  /** Warnings of Node.js, such as of a growing number of listeners. */
  | { readonly event: "runtime-warning" } & RuntimeWarning
  /** An error that nothing caught ends the process. */
  | { readonly event: "uncaught-error" } & UncaughtError
  /** The version at which a stream goes on that a caller takes up. */
  | {
    readonly event: "stream-version-found";
    readonly version: string;
    readonly from: "own" | "keeper" | "single-version";
  } & StreamVersionInputs
  /** A caller's stream isn't taken up: nobody knows where it began. */
  | {
    readonly event: "stream-version-unknown";
    /** Versions of the service that this host knows. */
    readonly versions: number;
  } & StreamVersionInputs
  | { readonly event: "log-lines-dropped"; readonly lines: number };
