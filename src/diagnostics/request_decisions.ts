/**
 * The decisions on single requests that an entry host logs: where each attempt goes
 * and what follows when it fails, at which version a stream goes on, how the
 * request ends.
 *
 * @module
 */

import type { Outcome } from "../types.ts";

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

/** What a host takes for the load of the fleet. */
export interface LoadCoverage {
  /**
   * Hosts whose use it counts, this one included; hosts of earlier versions are
   * not among them.
   */
  readonly hosts: number;
  /** Age of the oldest report that it counts, in ms; 0 without any. */
  readonly ageMs: number;
}

/** Recent service of a team over all hosts, in tokens per second. */
export interface TeamServiceRates {
  readonly asked: number;
  readonly begun: number;
  /** The value of `begun` of the team that has most. */
  readonly mostBegun: number;
}

/** What a team gets of the capacity, compared with the other teams. */
export type TeamStanding = "overserved" | "underserved" | "even";

/** Whose room a prompt takes at its upstream, as known when it starts. */
export interface RoomUse {
  readonly standing: TeamStanding;
  /** Limit of prefill tokens in flight there, without this prompt. */
  readonly limitTokens: number;
  /** Tokens that prompts of underserved teams wait to prefill there. */
  readonly underservedTokens: number;
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
   * Recent service of the team over all hosts, as known to this one; absent in
   * lines of earlier versions.
   */
  readonly service?: TeamServiceRates;
  /**
   * Whether its team got more than an even part of what was begun, or far less
   * than others; absent in lines of earlier versions.
   */
  readonly standing?: TeamStanding;
  /** Absent in lines of earlier versions. */
  readonly coverage?: LoadCoverage;
  /**
   * Utilization of this host's event loop, from 0 to 1; absent in lines of earlier
   * versions.
   */
  readonly utilization?: number;
  /**
   * Tokens that `upstream` would have had to prefill for the prompt, with the
   * cost of attention.
   */
  readonly readingTokens?: number | undefined;
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
      /**
       * Tokens that prompts of underserved teams wait to prefill there, at all
       * hosts; absent in lines of earlier versions.
       */
      readonly underservedTokens?: number;
      /**
       * Tokens that prompts which yield to underserved teams wait to prefill
       * there at other hosts; absent in lines of earlier versions.
       */
      readonly yieldingElsewhere?: number;
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
  /** What the first hosts to answer said; absent if none did. */
  readonly answers?: readonly LoggedAnswer[];
  /** What this host knew of the platform when it decided. */
  readonly inputs: Inputs;
}

/** What another host said of a stream that a caller takes up. */
export interface LoggedAnswer {
  /** Peer address of the host. */
  readonly from: string;
  readonly said: string;
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

/** A decision on one request, with the data that it was based on. */
export type RequestDecision =
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
     * Tokens that the upstream had to prefill, this prompt included, as far as
     * this host knows; absent for other calls.
     */
    readonly queuedTokens?: number | undefined;
    /** Absent for calls other than prompts. */
    readonly room?: RoomUse | undefined;
    /** Absent for calls other than prompts. */
    readonly coverage?: LoadCoverage | undefined;
    /** Service that counts against the team's share; absent for other calls. */
    readonly serviceTokens: number | undefined;
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
    /**
     * The system call that failed, such as `connect`; absent for other errors.
     */
    readonly syscall?: string | undefined;
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
    /** The request was open when this host, which is stopping, ended. */
    readonly event: "request-open-at-exit";
    readonly request: string;
    /** As in `request-ended`. */
    readonly relay?: string | undefined;
    readonly route: string | undefined;
    /** Upstream of the latest attempt. */
    readonly upstream: string | undefined;
    /** Negative if it arrived before the signal. */
    readonly arrivedAfterStopMs: number;
    /** Time since its arrival. */
    readonly ageMs: number;
    readonly targetMs: number | undefined;
    /** Time from its arrival to its deadline; absent before its body was read. */
    readonly deadlineMs: number | undefined;
    /** Time from its arrival to the start of the latest attempt. */
    readonly attemptAfterMs: number | undefined;
    /** Time from its arrival until this process had to end. */
    readonly leftMs: number;
    /** Whether an upstream may have run it. */
    readonly mayHaveRun: boolean;
    /** Whether a part of the response was given to the caller. */
    readonly hasBegun: boolean;
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
    /**
     * Name of the relay by which the request came, if another host handed its
     * connection off: that host's peer address and the number of the relay.
     */
    readonly relay?: string | undefined;
    readonly team: string | undefined;
    readonly route: string | undefined;
    /** Service that counts against the team's share; absent for other calls. */
    readonly serviceTokens?: number | undefined;
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
  /** The version at which a stream goes on that a caller takes up. */
  | {
    readonly event: "stream-version-found";
    readonly version: string;
    readonly from: "own" | "keeper" | "single-version";
    /** By what a single version is certain; absent for any other. */
    readonly confirmedBy?: "platform" | "other-host" | "all-hosts";
  } & StreamVersionInputs
  /** An upstream was asked which incarnation it is, of that which its entry names. */
  | {
    readonly event: "upstream-reported";
    readonly upstream: string;
    readonly incarnation: number;
    readonly tookMs: number;
    readonly report: {
      readonly kind: "incarnation" | "not-offered" | "unknown";
      readonly incarnation?: number;
      readonly reason?: string;
    };
  }
  /** A caller's stream isn't taken up: nobody knows where it began. */
  | {
    readonly event: "stream-version-unknown";
    /** Versions of the service that this host knows. */
    readonly versions: number;
  } & StreamVersionInputs;
