/**
 * The decisions on upstreams that an entry host logs: which ones there are and may
 * be used, how much they may get, and what crashes them.
 *
 * @module
 */

/** A decision on an upstream, with the data that it was based on. */
export type UpstreamDecision =
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
  };
