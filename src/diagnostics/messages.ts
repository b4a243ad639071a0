/**
 * The catalogue of all messages: errors for callers and operators, and log
 * lines. Modules refer to an entry by its name. The numeric code of an entry
 * never changes its meaning.
 *
 * @module
 */

/** The audience of a message. */
export type MessageCategory = "caller-error" | "operator-error" | "log";

/** An entry of the catalogue. */
export interface Message {
  readonly code: number;
  readonly category: MessageCategory;
  /** Text with the placeholders {0}, {1} … for arguments. */
  readonly text: string;
}

function define(
  code: number,
  category: MessageCategory,
  text: string,
): Message {
  return { code, category, text };
}

/** All messages by name. Codes: 1xxx callers, 2xxx operators, 3xxx logs. */
export const messages = {
  missingKey: define(
    1001,
    "caller-error",
    "Send the team's key as a bearer token",
  ),
  unknownKey: define(1002, "caller-error", "The key belongs to no team"),
  unknownPath: define(1003, "caller-error", 'The path "{0}" does not exist'),
  unknownService: define(
    1004,
    "caller-error",
    'The service "{0}" does not exist',
  ),
  unknownOperation: define(
    1005,
    "caller-error",
    'The service "{0}" has no operation "{1}"',
  ),
  bodyTooLarge: define(
    1006,
    "caller-error",
    "The body is larger than {0} bytes",
  ),
  malformedJson: define(
    1007,
    "caller-error",
    "The body is not a JSON object: {0}",
  ),
  missingIdempotencyKey: define(
    1008,
    "caller-error",
    'The operation "{0}" runs at most once and needs an "Idempotency-Key" header',
  ),
  badHeader: define(
    1009,
    "caller-error",
    'The header "{0}" has the value "{1}", expected {2}',
  ),
  queueFull: define(
    1010,
    "caller-error",
    'The team has {0} requests waiting for "{1}" at this host, which is its limit',
  ),
  deadlineUnreachable: define(
    1011,
    "caller-error",
    "The expected wait is longer than the {0} ms that the deadline allows",
  ),
  deadlinePassed: define(
    1012,
    "caller-error",
    "The deadline passed while the request waited",
  ),
  hostFull: define(
    1040,
    "caller-error",
    "This host has {0} queued requests and accepts no more of the team",
  ),
  deadlineLost: define(
    1041,
    "caller-error",
    "The deadline of the queued request can't be met any more",
  ),
  draining: define(
    1013,
    "caller-error",
    'This host is draining; ask "/where" for another host',
  ),
  notReady: define(1014, "caller-error", "This host is not ready: {0}"),
  upstreamFailed: define(
    1015,
    "caller-error",
    'The upstream "{0}" failed: {1}',
  ),
  claimedElsewhere: define(
    1017,
    "caller-error",
    "A request with this idempotency key is running or its outcome is unknown",
  ),
  claimsUnavailable: define(
    1018,
    "caller-error",
    "The record of idempotency keys can't be reached",
  ),
  quarantined: define(
    1019,
    "caller-error",
    "Requests with this content crashed {0} upstreams and are refused",
  ),
  internalError: define(1021, "caller-error", "The host failed: {0}"),
  badResumeToken: define(
    1022,
    "caller-error",
    "The resume token is not valid for this team",
  ),
  resumeGone: define(
    1023,
    "caller-error",
    "The stream can no longer be resumed: {0}",
  ),
  claimHolderLost: define(
    1030,
    "caller-error",
    "The host that claimed this idempotency key is gone, so whether the " +
      "request ran is not known; look the result up at the service, or send " +
      "again with a new key if a second run does no harm",
  ),
  claimEndUnknown: define(
    1031,
    "caller-error",
    "A request with this idempotency key was sent to its upstream and its " +
      "outcome is not known; look the result up at the service, or send " +
      "again with a new key if a second run does no harm",
  ),
  idempotencyKeyReused: define(
    1032,
    "caller-error",
    "This idempotency key was used for a request with other content",
  ),
  onceNeedsPlainService: define(
    1033,
    "caller-error",
    "The operation \"{0}\" runs at most once, which an engine's stream can't",
  ),
  slowBody: define(
    1034,
    "caller-error",
    "The body did not arrive within {0} ms",
  ),
  answerIncomplete: define(
    1035,
    "caller-error",
    'The response is incomplete after offset {0}: the upstream "{1}" failed: {2}',
  ),
  suspectNotAlone: define(
    1036,
    "caller-error",
    "A request with this content was running when an upstream failed, and no " +
      "upstream is free to run it alone",
  ),
  badOffset: define(
    1037,
    "caller-error",
    'The offset "{0}" is not a whole number of at least 0',
  ),
  drainLimitPassed: define(
    1038,
    "caller-error",
    "The host had to stop before the response was complete",
  ),
  operatorKeyNeeded: define(
    2001,
    "operator-error",
    "The operators' endpoints need an operator's key",
  ),
  configConflict: define(
    2002,
    "operator-error",
    "The configuration in force is version {0} by {1}, not your base version",
  ),
  configInvalid: define(2003, "operator-error", "{0}"),
  platformUnavailable: define(
    2004,
    "operator-error",
    "The platform can't be reached: {0}",
  ),
  configUnknown: define(
    2030,
    "operator-error",
    "The platform failed and may have accepted the configuration; apply it again to find out: {0}",
  ),
  configValueNotAllowed: define(
    2010,
    "operator-error",
    "{0} is {1}; allowed: {2}",
  ),
  configKeyMissing: define(
    2011,
    "operator-error",
    "{0} is missing; allowed: {1}",
  ),
  configKeyUnknown: define(
    2012,
    "operator-error",
    '{0} is no known key; the nearest known is "{1}"',
  ),
  configKeyUnknownHere: define(
    2013,
    "operator-error",
    "{0} is no known key; known here: {1}",
  ),
  configDuplicate: define(
    2014,
    "operator-error",
    "{0} is {1}, which {2} has already; allowed: each value once",
  ),
  configUnknownReference: define(
    2015,
    "operator-error",
    "{0} is {1}, which is not declared; allowed: {2}",
  ),
  configNotToml: define(2016, "operator-error", "The text is not TOML: {0}"),
  configFileUnreadable: define(
    2017,
    "operator-error",
    "The file can't be read: {0}",
  ),
  unknownOption: define(
    2050,
    "operator-error",
    'The option "--{0}" does not exist; the nearest known is "--{1}"',
  ),
  optionNeedsValue: define(
    2051,
    "operator-error",
    'The option "--{0}" needs a value',
  ),
  optionNotAllowed: define(
    2052,
    "operator-error",
    'The option "--{0}" is "{1}"; allowed: {2}',
  ),
  extraArgument: define(
    2053,
    "operator-error",
    'The argument "{0}" is one too many',
  ),
  routerNeeded: define(
    2054,
    "operator-error",
    'Name a router with "--router" or in {0}',
  ),
  keyNeeded: define(
    2055,
    "operator-error",
    'Give the operator\'s key with "--key-file" or in {0}',
  ),
  keyFileUnreadable: define(
    2056,
    "operator-error",
    'The key file "{0}" can\'t be read: {1}',
  ),
  traceUnreadable: define(
    2070,
    "operator-error",
    'The trace "{0}" can\'t be read: {1}',
  ),
  linesUnreadable: define(
    2090,
    "operator-error",
    'The log "{0}" can\'t be read: {1}',
  ),
  requestNotInLines: define(
    2091,
    "operator-error",
    'None of {1} lines names the request "{0}"; pass the lines of all hosts, since a caller may try several',
  ),
  requestNotFound: define(
    2057,
    "operator-error",
    'No host that answered has events of the request "{0}": it was refused before it was admitted, is older than the events kept, or was served by a host that is gone',
  ),
  requestAmbiguous: define(
    2058,
    "operator-error",
    'Several requests start with "{0}": {1}',
  ),
  versionNotFound: define(
    2059,
    "operator-error",
    "The record has no version {0}; allowed: 1 to {1}",
  ),
  recordEmpty: define(
    2064,
    "operator-error",
    "No configuration was accepted yet",
  ),
  versionUnreadable: define(
    2060,
    "operator-error",
    "The files of version {0} can't be found on the platform",
  ),
  folderNotEmpty: define(
    2061,
    "operator-error",
    'The folder "{0}" is not empty; name a new one',
  ),
  badOperatorBody: define(
    2062,
    "operator-error",
    "The body is not valid: {0}",
  ),
  listenFailed: define(
    2063,
    "operator-error",
    "Can't listen: {0}; allowed: addresses of this host that are free",
  ),
  routerStarted: define(
    3001,
    "log",
    "Router listens for callers on {0} and for peers on {1}",
  ),
  routerStopped: define(3002, "log", "Router stopped after {0} ms of draining"),
  configInForce: define(3003, "log", "Configuration version {0} is in force"),
  configRefused: define(
    3004,
    "log",
    "Configuration version {0} can't be read: {1}",
  ),
  memberChanged: define(3005, "log", 'Host "{0}" is now {1}'),
  peerLost: define(3006, "log", 'The link to host "{0}" is lost: {1}'),
  requestEnded: define(3007, "log", "Request ended as {0}"),
  taskFailed: define(3009, "log", 'A run of the task "{0}" failed: {1}'),
  platformFailed: define(3008, "log", "A call to the platform failed: {0}"),
  drainPhase: define(3030, "log", "The host's drain phase is now {0}"),
  drainCut: define(
    3031,
    "log",
    "{0} responses were not complete at the drain limit",
  ),
  stoppedAtOnce: define(
    3032,
    "log",
    "A second signal stops the host immediately, with {0} requests in flight",
  ),
  upstreamLeaving: define(3033, "log", 'Upstream "{0}" is leaving: {1}'),
  orderGiven: define(3034, "log", 'Order to upstream "{0}": {1}: {2}'),
  runtimeWarning: define(3035, "log", "Node.js warned {0} times: {1}: {2}"),
  uncaughtError: define(
    3036,
    "log",
    "An uncaught error ends the process: {0}: {1} {2}",
  ),
  signalReceived: define(3037, "log", "Received {0} at the age of {1} ms"),
  startWaiting: define(
    3038,
    "log",
    "The start has waited for {0} for {1} of {2} ms: {3}",
  ),
  startStopped: define(3039, "log", "Stopped before the start was over"),
} as const satisfies Record<string, Message>;

/** The name of an entry of the catalogue. */
export type MessageName = keyof typeof messages;

/** Formats the text of a message with its arguments. */
export function formatMessage(
  name: MessageName,
  args: readonly (string | number)[] = [],
): string {
  return messages[name].text.replace(
    /\{(\d)\}/g,
    (_, position) => String(args[Number(position)] ?? ""),
  );
}
