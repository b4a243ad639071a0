/**
 * The decisions on the platform that an entry host logs: what is in force of its
 * configuration, which hosts read its tables, and whether it answers.
 *
 * @module
 */

/** A decision on the platform, with the data that it was based on. */
export type PlatformDecision =
  | {
    readonly event: "config-in-force";
    readonly version: number;
    readonly platformEra?: number | undefined;
    readonly platformVersion: number;
    readonly from: string;
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
    /** Operators evacuate a data centre, or have taken it back. */
    readonly event: "evacuation-began" | "evacuation-ended";
    readonly dataCentre: string;
    /** Whether this host's settings name the data centre. */
    readonly isDeclared: boolean;
    readonly platformEra?: number | undefined;
    readonly platformVersion: number;
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
    /** Another host had a newer version of a table and did not send it. */
    readonly event: "table-not-fetched";
    readonly table: string;
    readonly peer: string;
    readonly tookMs: number;
    /** Time since this host first heard of a version that it lacks, in ms. */
    readonly lackedMs: number;
  }
  | {
    /** Another host sent a copy of a table. */
    readonly event: "table-fetched";
    readonly table: string;
    readonly peer: string;
    readonly tookMs: number;
    /** Size of the copy as it was sent. */
    readonly bytes: number;
    readonly isNewer: boolean;
    /** Time since this host first heard of a version that it lacked, in ms. */
    readonly lackedMs: number;
  }
  | {
    /** A copy of a table by another host had rows that this one can't use. */
    readonly event: "copy-doubtful";
    readonly table: string;
    readonly peer: string;
    readonly unusableRows: number;
  }
  | {
    readonly event: "row-unreadable";
    readonly table: string;
    readonly key: string;
    readonly platformVersion: number;
    readonly reason: string;
  }
  | {
    readonly event: "platform-lost" | "platform-regained";
    readonly table: string;
    readonly reason: string;
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
  };
